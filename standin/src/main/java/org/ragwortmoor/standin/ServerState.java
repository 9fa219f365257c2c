package org.ragwortmoor.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the connections of one server share. Confined to its event loop but for the counters. */
final class ServerState {
    private static final Logger LOG = LoggerFactory.getLogger(ServerState.class);

    final StandinSettings settings;
    private final long incarnation;
    final StandinDatabase database;
    final EventLoop loop;
    final Faults faults;
    final SlotQueue slots;
    final Waiters waiters;

    /** Open channels, which the server closes before its event loop ends. */
    final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Statements and transactions that arrived after the grace of a leaving endpoint. */
    final AtomicLong lateWork = new AtomicLong();

    /** Frames that were refused as malformed or too large. */
    final AtomicLong badFrames = new AtomicLong();

    private final Set<StandinConnection> open = new LinkedHashSet<>();
    private final Set<StandinConnection> counted = new LinkedHashSet<>();
    private final List<Runnable> faultListeners = new ArrayList<>();
    private long leavingDeadline;

    ServerState(
            StandinSettings settings, StandinDatabase database, EventLoop loop, long incarnation) {
        this.incarnation = incarnation;
        this.settings = settings;
        this.database = database;
        this.loop = loop;
        this.faults = new Faults(settings.delays().replicationLagMicros());
        this.slots = new SlotQueue(loop, settings.slots(), settings.queueLimit());
        this.waiters = new Waiters(loop);
        database.onChange(waiters::changed);
    }

    EndpointStatus status() {
        return database.status(slots.running(), slots.queued(), counted.size(), faults.leaving())
                .withIncarnation(incarnation);
    }

    long delayMicros() {
        return settings.delays().oneWayMicros() + faults.extraDelayMicros();
    }

    void opened(StandinConnection connection) {
        open.add(connection);
    }

    void closed(StandinConnection connection) {
        open.remove(connection);
        counted.remove(connection);
    }

    List<StandinConnection> connections() {
        return new ArrayList<>(open);
    }

    /** Counts a connection against the limit; returns false if the limit is reached. */
    boolean count(StandinConnection connection) {
        if (counted.size() >= settings.connectionLimit()) {
            return false;
        }
        counted.add(connection);
        return true;
    }

    void apply(FaultSwitch fault) {
        boolean wasLeaving = faults.leaving();
        faults.apply(fault);
        if (faults.leaving() && !wasLeaving) {
            leavingDeadline =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(settings.delays().leavingGraceMillis());
        }
        if (wasLeaving && !faults.leaving()) {
            LOG.info(
                    "endpoint {} stays after all; late work: {}",
                    settings.endpoint(),
                    lateWork.get());
        }
        if (fault instanceof FaultSwitch.SilenceConnections silence) {
            connections().stream()
                    .filter(c -> c.isClient(silence.client()))
                    .limit(Math.max(0, silence.count()))
                    .forEach(StandinConnection::silence);
        }
        faultListeners.forEach(Runnable::run);
    }

    /** Registers a listener that is called after each fault switch. */
    void onFault(Runnable listener) {
        faultListeners.add(listener);
    }

    /** Returns whether new work is refused because the endpoint has been leaving for long. */
    boolean refusesWork() {
        return faults.leaving() && leavingDeadline - System.nanoTime() <= 0;
    }

    Refused leaving() {
        return refuse(RefusalKind.LEAVING, "the endpoint is leaving; use another endpoint");
    }

    Refused refuse(RefusalKind kind, String message) {
        return new Refused(kind, message, database.promise().term(), 0);
    }
}
