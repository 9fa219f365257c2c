package org.ragwortmoor.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One ragwortmoor process that a test starts, stops, kills, freezes and restarts. */
final class ManagedProcess implements AutoCloseable {
    private static final int STOP_SECONDS = 90;

    private final String name;
    private final String httpAddress;
    private final Path data;
    private final Path log;
    private final List<String> arguments;
    private Process process;

    ManagedProcess(String name, String httpAddress, Path data, Path log, List<String> arguments) {
        this.name = name;
        this.httpAddress = httpAddress;
        this.data = data;
        this.log = log;
        this.arguments = List.copyOf(arguments);
    }

    /** Returns the command line of a ragwortmoor program in a Java process of its own. */
    static List<String> command(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        // The configuration of tests would silence the logs of the processes.
        command.add("-Dlogback.configurationFile=logback.xml");
        command.addAll(List.of("-cp", classPath(), "org.ragwortmoor.cli.Main"));
        command.addAll(arguments);
        return command;
    }

    /** Surefire may start tests with a manifest jar and names the real class path aside. */
    private static String classPath() {
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    void start() {
        start(command(arguments), log);
    }

    /**
     * Starts the process so that no file of it grows beyond a size: writes fail as on a full disk.
     *
     * @param kib largest size in KiB
     */
    void startWithFileLimit(int kib) {
        // POSIX shells count the limit in blocks of 512 bytes.
        List<String> limited =
                new ArrayList<>(
                        List.of("sh", "-c", "ulimit -f " + 2 * kib + "; exec \"$@\"", "sh"));
        limited.addAll(command(arguments));
        start(limited, limitedLog());
    }

    /** The limit also holds for the log, which may have passed it before. */
    private Path limitedLog() {
        return log.resolveSibling(name + ".limited.log");
    }

    private void start(List<String> commandLine, Path output) {
        if (alive()) {
            throw new IllegalStateException(name + " runs already");
        }
        File file = output.toFile();
        try {
            process =
                    new ProcessBuilder(commandLine)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(file))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    /** Returns the address of the HTTP API; of an endpoint, the address for its connections. */
    String address() {
        return httpAddress;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Ends the process at once (SIGKILL). */
    void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /** Begins a planned stop (SIGTERM). */
    void beginStop() {
        process.destroy();
    }

    /** Stops the process as planned (SIGTERM) and waits for its end. */
    void stop() {
        beginStop();
        awaitEnd();
    }

    void awaitEnd() {
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(name + " did not end within " + STOP_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    void freeze() {
        signal("-STOP");
    }

    void thaw() {
        signal("-CONT");
    }

    private void signal(String signal) {
        try {
            int code =
                    new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                            .inheritIO()
                            .start()
                            .waitFor();
            if (code != 0) {
                throw new IllegalStateException("kill " + signal + " of " + name + ": " + code);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Loses the disk of a process that does not run. */
    void wipeData() {
        if (alive()) {
            throw new IllegalStateException(name + " still runs");
        }
        if (!Files.exists(data)) {
            return;
        }
        try (Stream<Path> files = Files.walk(data)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the size of the largest file of the process in KiB, rounded up. */
    int largestFileKib() {
        try (Stream<Path> files = Files.walk(data)) {
            long bytes = files.mapToLong(file -> file.toFile().length()).max().orElse(0);
            return (int) (bytes / 1024) + 1;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns what the process has written. */
    String logText() {
        return text(log) + text(limitedLog());
    }

    private static String text(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            awaitEnd();
        }
    }
}
