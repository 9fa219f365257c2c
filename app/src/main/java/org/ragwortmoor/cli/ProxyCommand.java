package org.ragwortmoor.cli;

import org.ragwortmoor.coordination.engine.EngineSettings;
import org.ragwortmoor.daemon.ProxyConfig;
import org.ragwortmoor.daemon.ProxyNode;
import org.ragwortmoor.settings.ProxySettings;

/** Runs a proxy. */
final class ProxyCommand extends SettingsCommand<ProxySettings> {
    ProxyCommand() {
        super(ProxySettings.ROLE);
    }

    @Override
    protected ExitCode run(ProxySettings settings, Console console) {
        ProxyNode node;
        try {
            node = ProxyNode.start(config(settings));
        } catch (RuntimeException e) {
            console.err()
                    .println(
                            "cannot serve HTTP on "
                                    + settings.httpAddress()
                                    + " ("
                                    + e.getMessage()
                                    + "); choose a free address with --http-address");
            return ExitCode.ENVIRONMENT;
        }
        return ProcessRunner.runUntilStopped(
                node, node::drain, node.stopped(), settings.stopTimeoutMillis());
    }

    private static ProxyConfig config(ProxySettings settings) {
        return new ProxyConfig(
                settings.name(),
                settings.failureDomain(),
                settings.httpAddress().ip().getHostAddress(),
                settings.httpAddress().port(),
                settings.controlAddresses().stream().map(n -> n.address().toString()).toList(),
                settings.workers(),
                settings.sessionLifetimeMillis(),
                settings.maxRequestBytes(),
                new ProxyConfig.Times(
                        settings.defaultDeadlineMillis(),
                        settings.maxDeadlineMillis(),
                        settings.transactionLifetimeMillis()),
                EngineSettings.defaults());
    }
}
