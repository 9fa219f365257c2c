package org.ragwortmoor.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.consensus.ConsensusSettings;
import org.ragwortmoor.daemon.ControlConfig;
import org.ragwortmoor.daemon.ControlNode;
import org.ragwortmoor.settings.ControlSettings;

/** Runs a control process. */
final class ControlProcessCommand extends SettingsCommand<ControlSettings> {
    /** Bounds the rule file. */
    private static final long MAX_REQUEST_BYTES = 4 << 20;

    private static final long STOP_MILLIS = 10_000;

    ControlProcessCommand() {
        super(ControlSettings.ROLE);
    }

    @Override
    protected ExitCode run(ControlSettings settings, Console console) {
        Either<String, ControlNode> started;
        try {
            started = ControlNode.start(config(settings));
        } catch (IOException | RuntimeException e) {
            console.err()
                    .println(
                            "cannot listen ("
                                    + e.getMessage()
                                    + "); choose free addresses with --peer-address and"
                                    + " --http-address");
            return ExitCode.ENVIRONMENT;
        }
        if (started.isLeft()) {
            console.err().println(started.getLeft());
            return ExitCode.ENVIRONMENT;
        }
        ControlNode node = started.get();
        return ProcessRunner.runUntilStopped(node, node::drain, node.stopped(), STOP_MILLIS);
    }

    private static ControlConfig config(ControlSettings settings) {
        Map<String, String> members = new LinkedHashMap<>();
        settings.members().forEach(m -> members.put(m.id(), m.address().toString()));
        return new ControlConfig(
                settings.nodeId(),
                settings.failureDomain(),
                settings.peerAddress().ip().getHostAddress(),
                settings.peerAddress().port(),
                settings.httpAddress().ip().getHostAddress(),
                settings.httpAddress().port(),
                members,
                Map.of(),
                settings.dataFolder(),
                MAX_REQUEST_BYTES,
                consensus(settings, members));
    }

    /**
     * The lease is shorter than the election timeout by a fifth, so that it ends before a successor
     * can be elected although clocks run at slightly different rates.
     */
    private static ConsensusSettings consensus(
            ControlSettings settings, Map<String, String> members) {
        long election = TimeUnit.MILLISECONDS.toNanos(settings.electionTimeoutMillis());
        return ConsensusSettings.defaults(members)
                .withTimes(
                        TimeUnit.MILLISECONDS.toNanos(settings.heartbeatMillis()),
                        election,
                        election * 9 / 5,
                        election * 4 / 5)
                .withSnapshotEntries(settings.snapshotEntries());
    }
}
