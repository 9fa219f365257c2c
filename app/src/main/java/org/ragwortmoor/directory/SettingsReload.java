package org.ragwortmoor.directory;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortmoor.settings.Role;
import org.ragwortmoor.settings.SettingsProblem;
import org.ragwortmoor.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a settings file again while the process runs.
 *
 * <p>Invalid settings are logged and change nothing, since the file may be read while it is being
 * written, and a running process must not end because of it.
 */
public final class SettingsReload {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);

    private SettingsReload() {}

    /**
     * Reads the settings of a role.
     *
     * @param environment environment variables, which take precedence over the file
     * @param onSettings receives the settings; not called if they are invalid
     */
    public static <T> void read(
            Role<T> role, Path file, Map<String, String> environment, Consumer<T> onSettings) {
        Either<List<SettingsProblem>, T> settings =
                new SettingsReader(environment)
                        .read(role, List.of("--" + SettingsReader.FILE, file.toString()));
        settings.peekLeft(
                        problems ->
                                LOG.warn(
                                        "event=settings_refused file={} problems=\"{}\""
                                                + " remedy=\"correct the file; until then the"
                                                + " previous settings stay in effect\"",
                                        file,
                                        problems))
                .forEach(onSettings);
    }
}
