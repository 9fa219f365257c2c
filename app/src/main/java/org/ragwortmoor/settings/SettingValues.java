package org.ragwortmoor.settings;

import java.util.Map;

/** The values of a role's settings. */
public final class SettingValues {
    private final Map<String, Object> values;

    SettingValues(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /** Returns the value of {@code setting}. */
    @SuppressWarnings("unchecked") // Each value was read by the type of the setting of its name.
    public <T> T value(Setting<T> setting) {
        return (T) values.get(setting.name());
    }

    /** Returns the value of a setting whose range lies within {@code int}. */
    public int number(Setting<Long> setting) {
        return Math.toIntExact(value(setting));
    }
}
