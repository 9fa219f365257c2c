package org.ragwortmoor.coordination.session;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortmoor.state.statement.ErrorCode;

/** Executes the statements that another proxy forwards over one link. */
public final class ForwardingSession {
    private final SessionEngine engine;
    private final String from;
    private final Map<Long, HolderStream> streams = new LinkedHashMap<>();

    ForwardingSession(SessionEngine engine, String from) {
        this.engine = engine;
        this.from = from;
    }

    /**
     * Executes a statement.
     *
     * @param reply receives the result, once, unless the stream is ended before
     */
    public void execute(ForwardedStatement statement, Consumer<ForwardedResult> reply) {
        HolderStream stream = streams.get(statement.stream());
        if (stream == null || stream.ended()) {
            if (!statement.first()) {
                reply.accept(
                        new ForwardedResult.Failed(
                                ErrorCode.ABORTED.name(), "the transaction was idle", "", 0));
                return;
            }
            if (engine.stopping() || streams.size() >= SessionSettings.MAX_STREAMS_PER_LINK) {
                reply.accept(
                        new ForwardedResult.Declined(
                                engine.stopping() ? "the proxy is stopping" : "too many streams"));
                return;
            }
            stream = new HolderStream(engine, from);
            streams.put(statement.stream(), stream);
        }
        HolderStream executing = stream;
        executing.execute(
                statement,
                result -> {
                    if (executing.ended()) {
                        streams.remove(statement.stream(), executing);
                    }
                    reply.accept(result);
                });
    }

    /** Ends a stream: its statement is abandoned, its transaction rolled back. */
    public void end(long streamId) {
        HolderStream stream = streams.remove(streamId);
        if (stream != null) {
            stream.abandon();
        }
    }

    /** Handles the loss of the link. */
    public void disconnected() {
        List.copyOf(streams.keySet()).forEach(this::end);
        engine.forwardingEnded(this);
    }

    int streamCount() {
        return streams.size();
    }

    void tick() {
        for (HolderStream stream : List.copyOf(streams.values())) {
            stream.declineIfLeaderUnreachable();
        }
        streams.values().removeIf(HolderStream::ended);
    }

    /** Rolls back the transactions that have no statement in progress. */
    void abortIdleTransactions() {
        for (Map.Entry<Long, HolderStream> entry : List.copyOf(streams.entrySet())) {
            if (entry.getValue().idleInTransaction()) {
                end(entry.getKey());
            }
        }
    }
}
