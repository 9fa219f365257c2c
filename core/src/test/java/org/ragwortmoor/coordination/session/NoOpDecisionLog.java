package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/** A decision log that discards everything. */
final class NoOpDecisionLog implements DecisionLog {
    @Override
    public void connectionOpening(String cause) {}

    @Override
    public void idleConnectionClosed(String cause) {}

    @Override
    public void statement(
            String id,
            String database,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {}

    @Override
    public void forwardedStatement(
            String id,
            String from,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {}

    @Override
    public void serverAnswered(String kind) {}

    @Override
    public void answerMismatched(
            String group, String server, String kind, String statementId, String message) {}

    @Override
    public void connectionFailed(String group, String server, String reason) {}

    @Override
    public void connectionLost(String group, String server, String reason) {}

    @Override
    public void leaderChanged(String group, String from, String to, String reason) {}

    @Override
    public void leaderDenied(String group, String server, long term) {}

    @Override
    public void leaderConfirmed(String group, String server, long term) {}

    @Override
    public void directoryApplied(long routesVersion, long routesRevision, long serversRevision) {}

    @Override
    public void isolationChanged(boolean isolated, int silentLeaders, int groups) {}

    @Override
    public void keyRefused(String cause) {}

    @Override
    public void sessionEnded(String database, String reason) {}
}
