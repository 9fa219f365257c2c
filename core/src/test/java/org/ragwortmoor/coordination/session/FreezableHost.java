package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * The host of a process that can be frozen, restarted, and suspended with its virtual machine. Its
 * monotonic clock stops only while it is suspended.
 */
final class FreezableHost implements SessionHost {
    private final SimulatedHost host;
    private final SessionHost network;
    private List<Runnable> deferred = new ArrayList<>();
    private long suspendedNanos;
    private int process;
    private boolean frozen;

    FreezableHost(SimulatedHost host, String name, Set<String> unreachable) {
        this.host = host;
        this.network = host.proxy(name, unreachable);
    }

    /** Starts another process; the tasks of the former one do not run any more. */
    void restart() {
        process++;
    }

    void freeze(int millis, boolean suspended) {
        if (frozen) {
            return;
        }
        frozen = true;
        host.afterMillis(
                millis,
                () -> {
                    frozen = false;
                    suspendedNanos += suspended ? millis * 1_000_000L : 0;
                    List<Runnable> tasks = deferred;
                    deferred = new ArrayList<>();
                    tasks.forEach(Runnable::run);
                });
    }

    /** Runs a task of the present process once it is not frozen. */
    void run(Runnable task) {
        ofThisProcess(task).run();
    }

    private Runnable ofThisProcess(Runnable task) {
        int started = process;
        return () -> {
            if (started != process) {
                return;
            }
            if (frozen) {
                deferred.add(ofThisProcess(task));
            } else {
                task.run();
            }
        };
    }

    @Override
    public long now() {
        return host.now() - suspendedNanos;
    }

    @Override
    public long wallMillis() {
        return host.wallMillis();
    }

    @Override
    public Timer schedule(long deadline, Runnable task) {
        return host.schedule(deadline + suspendedNanos, ofThisProcess(task));
    }

    @Override
    public ServerLink connect(ServerRecord server, ServerLinkListener listener) {
        int started = process;
        return network.connect(
                server,
                new ServerLinkListener() {
                    @Override
                    public void opened() {
                        runIn(started, listener::opened);
                    }

                    @Override
                    public void received(StatementMessage message) {
                        runIn(started, () -> listener.received(message));
                    }

                    @Override
                    public void closed(String reason) {
                        runIn(started, () -> listener.closed(reason));
                    }
                });
    }

    private void runIn(int started, Runnable task) {
        if (started == process) {
            run(task);
        }
    }

    @Override
    public HolderLink link(String proxy, String address) {
        return network.link(proxy, address);
    }
}
