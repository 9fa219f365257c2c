package org.ragwortmoor.settings;

import java.util.List;
import java.util.function.Function;

/**
 * A kind of process with its settings.
 *
 * @param name name of the command that starts the process
 * @param summary what the process is
 * @param settings its settings
 * @param builder builds the settings record from the values
 * @param constraints returns the problems between settings that are valid by themselves
 */
public record Role<T>(
        String name,
        String summary,
        List<Setting<?>> settings,
        Function<SettingValues, T> builder,
        Function<T, List<SettingsProblem>> constraints) {
    /** Copies the list. */
    public Role {
        settings = List.copyOf(settings);
    }
}
