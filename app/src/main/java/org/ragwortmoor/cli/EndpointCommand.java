package org.ragwortmoor.cli;

import io.vavr.control.Option;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.settings.EndpointSettings;
import org.ragwortmoor.standin.FaultSwitch;
import org.ragwortmoor.standin.StandinProcess;
import org.ragwortmoor.standin.StandinSettings;

/** Runs a stand-in endpoint. */
final class EndpointCommand extends SettingsCommand<EndpointSettings> {
    private static final long ANNOUNCE_MILLIS = 500;

    /** New work ends within 3 s of the announcement that the endpoint is leaving. */
    private static final long LEAVING_GRACE_MILLIS = 3_000;

    private static final long STOP_MILLIS = 10_000;

    EndpointCommand() {
        super(EndpointSettings.ROLE);
    }

    @Override
    protected ExitCode run(EndpointSettings settings, Console console) {
        StandinProcess process;
        try {
            process = new StandinProcess(standin(settings), new SecureRandom());
        } catch (IOException e) {
            console.err().println(e.getMessage() + "; choose another address or data folder");
            return ExitCode.ENVIRONMENT;
        }
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        return ProcessRunner.runUntilStopped(
                process, () -> leave(process, stopped), stopped, STOP_MILLIS);
    }

    /**
     * Announces that the endpoint is leaving and stops it when new work has ended, so that the
     * group has another primary and no proxy waits for an answer.
     */
    private static void leave(StandinProcess process, CompletableFuture<Void> stopped) {
        process.server()
                .apply(new FaultSwitch.Leaving(true))
                .thenRunAsync(
                        () -> stopped.complete(null),
                        CompletableFuture.delayedExecutor(
                                LEAVING_GRACE_MILLIS, TimeUnit.MILLISECONDS));
    }

    private static StandinSettings standin(EndpointSettings settings) {
        return new StandinSettings(
                settings.group(),
                settings.groupSize(),
                settings.name(),
                settings.address().ip().getHostAddress(),
                settings.address().port(),
                settings.failureDomain(),
                settings.slots(),
                settings.connectionLimit(),
                StandinSettings.DEFAULT_QUEUE_LIMIT,
                settings.controlAddresses().stream().map(n -> n.address().toString()).toList(),
                Option.of(settings.dataFolder()),
                new StandinSettings.Delays(
                        TimeUnit.MILLISECONDS.toMicros(settings.connectionCostMillis()),
                        settings.domainDelayMicros(),
                        TimeUnit.MILLISECONDS.toMicros(settings.replicationLagMillis()),
                        ANNOUNCE_MILLIS,
                        LEAVING_GRACE_MILLIS),
                FrameLimits.DEFAULT);
    }
}
