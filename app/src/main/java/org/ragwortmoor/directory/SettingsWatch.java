package org.ragwortmoor.directory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Calls back when the content of a settings file changes, with a signal or without one. */
public final class SettingsWatch {
    /** Interval of looking at the file, in milliseconds; reading it costs little. */
    private static final long INTERVAL_MILLIS = 1_500;

    private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);

    private final Path file;
    private final Runnable changed;
    private byte[] content;

    private SettingsWatch(Path file, Runnable changed) {
        this.file = file;
        this.changed = changed;
        this.content = read();
    }

    /** Starts to watch a file; SIGHUP makes it look at once. */
    public static void start(Path file, Runnable changed) {
        SettingsWatch watch = new SettingsWatch(file, changed);
        Thread thread = new Thread(watch::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
        Signal.handle(new Signal("HUP"), signal -> watch.look("signal"));
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MILLIS);
                look("poll");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void look(String cause) {
        byte[] now = read();
        if (now.length > 0 && !Arrays.equals(now, content)) {
            content = now;
            LOG.info("event=settings_changed cause={} bytes={}", cause, now.length);
            changed.run();
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
