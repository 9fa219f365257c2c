package org.ragwortmoor.directory;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Memory and descriptors of this process, from which default limits are derived.
 *
 * @param heapBytes maximum size of the heap
 * @param freeDescriptors descriptors that were not open when the process started
 */
public record ProcessResources(long heapBytes, int freeDescriptors) {
    /** Taken where the system does not tell the limit; that of the smallest VM is 4,300. */
    private static final int UNKNOWN_DESCRIPTORS = 4_000;

    private static final Path SELF = Path.of("/proc/self");
    private static final String LIMIT_NAME = "Max open files";

    /** Returns the resources of this process. */
    public static ProcessResources ofProcess() {
        return new ProcessResources(Runtime.getRuntime().maxMemory(), countFreeDescriptors());
    }

    private static int countFreeDescriptors() {
        try (DirectoryStream<Path> open = Files.newDirectoryStream(SELF.resolve("fd"))) {
            int count = 0;
            for (Path ignored : open) {
                count++;
            }
            for (String line : Files.readAllLines(SELF.resolve("limits"))) {
                if (line.startsWith(LIMIT_NAME)) {
                    String soft = line.substring(LIMIT_NAME.length()).strip();
                    int limit = Integer.parseInt(soft.substring(0, soft.indexOf(' ')));
                    return Math.max(1, limit - count);
                }
            }
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            // Another system, or a process without a limit.
        }
        return UNKNOWN_DESCRIPTORS;
    }
}
