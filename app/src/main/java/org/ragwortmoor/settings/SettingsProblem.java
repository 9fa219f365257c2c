package org.ragwortmoor.settings;

/**
 * A wrong setting.
 *
 * @param place where the value was found, or the name of the setting
 * @param message what is wrong
 * @param remedy what to do
 */
public record SettingsProblem(String place, String message, String remedy) {
    /** Returns the problem on one line. */
    public String text() {
        return place + ": " + message + "; " + remedy;
    }
}
