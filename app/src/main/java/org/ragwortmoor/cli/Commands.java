package org.ragwortmoor.cli;

import java.util.List;
import org.ragwortmoor.handback.ExportCommand;
import org.ragwortmoor.handback.VerifyCommand;

/** The registry of subcommands; add a line to add a command. */
public final class Commands {
    /** All subcommands in the order of the help. */
    public static final List<CommandEntry> ALL =
            List.of(
                    new CommandEntry("proxy", "Runs a proxy.", ProxyCommand::new),
                    new CommandEntry(
                            "control", "Runs a control process.", ControlProcessCommand::new),
                    new CommandEntry("endpoint", "Runs a stand-in endpoint.", EndpointCommand::new),
                    new CommandEntry(
                            "demo",
                            "Runs a whole deployment in one process and checks the promises.",
                            DemoCommand::new),
                    new CommandEntry(
                            "load",
                            "Sends a workload, writes results and checks the history.",
                            LoadCommand::new),
                    new CommandEntry(
                            "check-history",
                            "Checks the history file of a load.",
                            CheckHistory::new),
                    new CommandEntry(
                            "measure",
                            "Takes a measure of the design page beside its baseline.",
                            MeasureCommand::new),
                    new CommandEntry("rules check", "Checks a rule file.", RulesCheck::new),
                    new CommandEntry(
                            "rules diff",
                            "Shows what applying a rule file changes.",
                            RulesDiff::new),
                    new CommandEntry(
                            "rules explain",
                            "Explains what the rules say about a record.",
                            RulesExplain::new),
                    new CommandEntry(
                            "rules apply", "Makes a rule file the next version.", RulesApply::new),
                    new CommandEntry(
                            "rules show", "Shows the rules in force.", ApiRequest.get("/v1/rules")),
                    new CommandEntry(
                            "rules history",
                            "Shows all versions of the rules.",
                            ApiRequest.get("/v1/rules/history")),
                    new CommandEntry(
                            "status",
                            "Shows the state of processes and groups.",
                            StatusCommand::new),
                    new CommandEntry(
                            "dump",
                            "Prints the full state of a process.",
                            ApiRequest.get("/v1/dump")),
                    new CommandEntry(
                            "drain",
                            "Stops a process after its requests in flight.",
                            ApiRequest.post("/v1/drain")),
                    new CommandEntry(
                            "query session", "Opens a session on a proxy.", QuerySession::new),
                    new CommandEntry(
                            "query read", "Reads records through a proxy.", QueryRead::new),
                    new CommandEntry(
                            "query write", "Writes records through a proxy.", QueryWrite::new),
                    new CommandEntry(
                            "query outcome",
                            "Asks for the outcome of an earlier write.",
                            QueryOutcome::new),
                    new CommandEntry(
                            "hand-back export",
                            "Exports the records of a departing partner.",
                            ExportCommand::new),
                    new CommandEntry(
                            "hand-back verify",
                            "Checks an export against its manifest.",
                            VerifyCommand::new),
                    new CommandEntry(
                            "endpoints drain",
                            "Keeps new work away from an endpoint.",
                            EndpointsDrain::new),
                    new CommandEntry(
                            "proxies remove",
                            "Removes a proxy that is stopped for good.",
                            ProxiesRemove::new),
                    new CommandEntry(
                            "members repair",
                            "Replaces a control member that lost its disk.",
                            MembersRepair::new),
                    new CommandEntry("backup", "Takes the control state into a file.", Backup::new),
                    new CommandEntry(
                            "restore",
                            "Writes the data folders of a new control group from a backup.",
                            Restore::new),
                    new CommandEntry(
                            "settings",
                            "Prints the reference of all settings.",
                            SettingsPage::new));

    private Commands() {}
}
