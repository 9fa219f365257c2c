package org.ragwortmoor.cli;

import org.ragwortmoor.settings.SettingsReference;

/** Prints the reference page of all settings. */
final class SettingsPage implements Command {
    @Override
    public ExitCode run(Console console) {
        console.out().print(SettingsReference.page());
        return ExitCode.OK;
    }
}
