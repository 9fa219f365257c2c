package org.ragwortmoor.directory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Watches a settings file and calls back when its content changes. The file is polled, and SIGHUP
 * triggers an immediate check.
 */
public final class SettingsFileWatcher {
    /** Reading the file is cheap, so it is polled at a short interval. */
    private static final long POLL_INTERVAL_MILLIS = 1_500;

    private static final Logger LOG = LoggerFactory.getLogger(SettingsFileWatcher.class);

    private final Path file;
    private final Runnable onChange;
    private byte[] content;

    private SettingsFileWatcher(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.content = read();
    }

    /** Starts watching a file; SIGHUP triggers a check at once. */
    public static void start(Path file, Runnable onChange) {
        SettingsFileWatcher watch = new SettingsFileWatcher(file, onChange);
        Thread thread = new Thread(watch::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
        Signal.handle(new Signal("HUP"), signal -> watch.checkForChange("signal"));
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
                checkForChange("poll");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void checkForChange(String cause) {
        byte[] current = read();
        if (current.length > 0 && !Arrays.equals(current, content)) {
            content = current;
            LOG.info("event=settings_changed cause={} bytes={}", cause, current.length);
            onChange.run();
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            LOG.warn("event=settings_unreadable file={} reason=\"{}\"", file, e.toString());
            return new byte[0];
        }
    }
}
