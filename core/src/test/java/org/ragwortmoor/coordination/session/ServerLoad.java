package org.ragwortmoor.coordination.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * The work of a {@link FakeServer}: its slots, how long a statement occupies one, and for which
 * workspace it is.
 */
final class ServerLoad {
    private final SimulatedHost host;
    private final Deque<Work> waiting = new ArrayDeque<>();
    private BiConsumer<String, String> listener = (workspace, id) -> {};
    private ToIntFunction<String> statementMillis = text -> 5;
    private int free = Integer.MAX_VALUE;
    private int connectMillis;

    private record Work(int millis, Runnable task) {}

    ServerLoad(SimulatedHost host) {
        this.host = host;
    }

    /** Limits the work that is done at the same time; by default it is not limited. */
    ServerLoad setSlots(int slots) {
        free = slots;
        return this;
    }

    /** Sets how long opening a connection occupies a slot. */
    ServerLoad setConnectMillis(int millis) {
        connectMillis = millis;
        return this;
    }

    /** Sets how long a statement, given by its text, occupies a slot. */
    ServerLoad setStatementMillis(ToIntFunction<String> millis) {
        statementMillis = millis;
        return this;
    }

    /**
     * Sets what receives the workspace of a connection and the id of each statement that arrives on
     * it; the id is {@code CONNECT} for its start.
     */
    ServerLoad setListener(BiConsumer<String, String> newListener) {
        listener = newListener;
        return this;
    }

    void arrived(String workspace, String id) {
        listener.accept(workspace, id);
    }

    /** Runs a task after the work of a statement. */
    void execute(String text, Runnable task) {
        run(new Work(statementMillis.applyAsInt(text), task));
    }

    /** Runs a task after the work of opening a connection. */
    void connect(Runnable task) {
        if (connectMillis == 0) {
            task.run();
        } else {
            run(new Work(connectMillis, task));
        }
    }

    private void run(Work work) {
        if (free == 0) {
            waiting.add(work);
            return;
        }
        free--;
        host.afterMillis(
                work.millis(),
                () -> {
                    free++;
                    work.task().run();
                    if (!waiting.isEmpty() && free > 0) {
                        run(waiting.poll());
                    }
                });
    }
}
