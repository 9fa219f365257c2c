package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.engine.WorkQueue.Outcome;

/** Orders waiting requests, starts them within the limits and refuses those that would be late. */
final class Admission {
    private static final double SMOOTHING = 0.1;
    private static final long MILLI = 1_000_000L;

    /** A waiting request is refused at least this long before its deadline. */
    private static final long REFUSAL_LEAD_NANOS = 4 * MILLI;

    /**
     * Allowance for the error of an expected wait. At 5 times the capacity every admitted request
     * starts just as late as this estimate allows, so without it each error ends in an answer after
     * the deadline; the shorter queue still never runs empty.
     */
    private static final double WAIT_ALLOWANCE = 1.5;

    private final EngineContext ctx;
    private final EngineSettings settings;
    private final WorkClassifier classifier;
    private final Placement placement;
    private final Map<Lane, Map<WorkClass, WorkQueue>> queues = new EnumMap<>(Lane.class);
    private final Map<WorkClass, Double> occupiedNanos = new EnumMap<>(WorkClass.class);
    private List<BooleanSupplier> urgent = new ArrayList<>();
    private int queued;

    Admission(EngineContext ctx) {
        this.ctx = ctx;
        this.settings = ctx.settings();
        this.placement = new Placement(ctx, this);
        this.classifier =
                settings.classes()
                        ? new LabelClassifier(settings.longAfterNanos(), settings.maxLabels())
                        : new SingleClassifier();
        WorkQueue single = new FifoQueue();
        for (Lane lane : Lane.values()) {
            Map<WorkClass, WorkQueue> byClass = new EnumMap<>(WorkClass.class);
            for (WorkClass workClass : WorkClass.values()) {
                byClass.put(workClass, settings.classes() ? new FairQueue() : single);
            }
            queues.put(lane, byClass);
        }
    }

    InFlightLimiter newLimiter() {
        return settings.classes()
                ? new AimdLimiter(settings.fixedLimit(), settings.queueTargetNanos())
                : new FixedLimiter(settings.fixedLimit());
    }

    WorkClass classify(String label) {
        return classifier.classify(label);
    }

    /** Queues a new request, or refuses it at once if it could not finish in time. */
    void offer(Task task) {
        if (queued >= settings.maxQueued()) {
            refuseOverloaded(task, 100, "too many requests wait in this proxy");
            return;
        }
        if (task.lane() == Lane.PRIMARY && ctx.cutOff()) {
            task.refuse(
                    ErrorKind.NO_PRIMARY,
                    "fewer endpoints than a majority answer this proxy; use another proxy",
                    100);
            return;
        }
        long start = ctx.now() + (long) (WAIT_ALLOWANCE * expectedWait(task));
        long late = start + expectedNanos(task) - task.request().deadline();
        if (settings.classes() && late > 0) {
            refuseOverloaded(task, late / MILLI + 1, "the request would start too late");
            return;
        }
        enqueue(task, false);
    }

    private void refuseOverloaded(Task task, long retryAfterMillis, String message) {
        ctx.count(Counter.REFUSED_EARLY);
        task.refuse(
                ErrorKind.OVERLOADED, message + "; try again later", Math.max(1, retryAfterMillis));
    }

    private long expectedWait(Task task) {
        double occupied = occupied(task.workClass());
        int ahead = queue(task).ahead(task.request().session());
        if (ahead == 0 || occupied == 0) {
            return 0;
        }
        double places = placement.places(task.lane(), task.workClass());
        return places <= 0 ? 0 : (long) (ahead * occupied / places);
    }

    /** Returns the expected wait for the primary in nanoseconds. */
    double primaryWait() {
        int waiting = queues.get(Lane.PRIMARY).get(WorkClass.SHORT).size();
        double places = placement.places(Lane.PRIMARY, WorkClass.SHORT);
        return places <= 0 ? 0 : waiting * occupied(WorkClass.SHORT) / places;
    }

    /** Returns the average time from sending a statement to its answer; 0 if unknown. */
    private double occupied(WorkClass workClass) {
        return occupiedNanos.getOrDefault(workClass, 0.0);
    }

    private WorkQueue queue(Task task) {
        return queues.get(task.lane()).get(task.workClass());
    }

    /** Puts a request that was not executed back before the others of its session. */
    void requeue(Task task) {
        if (!task.answered() && task.queue() == null) {
            enqueue(task, true);
        }
    }

    void requeueAfter(Task task, long nanos) {
        ctx.after(nanos, () -> requeue(task));
    }

    private void enqueue(Task task, boolean first) {
        WorkQueue queue = queue(task);
        task.queue(queue);
        task.queuedAt(ctx.now());
        queued++;
        if (first) {
            queue.addFirst(task);
        } else {
            queue.add(task);
        }
        long remaining = task.request().deadline() - ctx.now();
        long lead = Math.max(REFUSAL_LEAD_NANOS, expectedNanos(task));
        long wait = remaining - Math.min(remaining / 2, lead);
        task.refusalTimer(ctx.timers().at(ctx.now() + wait, () -> refuseWaiting(task)));
    }

    /**
     * Refuses a request that still waits shortly before its deadline, so that it arrives in time.
     */
    private void refuseWaiting(Task task) {
        if (task.answered() || task.queue() == null) {
            return;
        }
        if (task.lane() == Lane.PRIMARY && !placement.primaryUsable()) {
            task.refuse(ErrorKind.NO_PRIMARY, "no primary can be reached; try again", 500);
        } else {
            refuseOverloaded(task, 50, "the request waited until its deadline");
        }
    }

    void remove(Task task) {
        if (task.queue() != null) {
            task.queue().remove(task);
            left(task);
        }
    }

    private void left(Task task) {
        task.queue(null);
        task.refusalTimer(null);
        queued--;
    }

    /** Runs {@code attempt} before queued requests until it returns true. */
    void urgent(BooleanSupplier attempt) {
        if (!attempt.getAsBoolean()) {
            urgent.add(attempt);
        }
    }

    /** Starts whatever can start now. */
    void pump() {
        if (!urgent.isEmpty()) {
            List<BooleanSupplier> attempts = urgent;
            urgent = new ArrayList<>();
            attempts.forEach(this::urgent);
        }
        for (Lane lane : Lane.values()) {
            for (WorkClass workClass : WorkClass.values()) {
                WorkQueue queue = queues.get(lane).get(workClass);
                if (queue.size() > 0) {
                    queue.serve(this::place);
                }
            }
        }
    }

    private Outcome place(Task task) {
        Outcome outcome = placement.place(task);
        if (outcome == Outcome.TAKEN && task.queue() != null) {
            left(task);
        }
        return outcome;
    }

    /** Moves a read from the replicas' queue to the primary's. */
    Outcome moveToPrimary(Task task) {
        task.lane(Lane.PRIMARY);
        if (ctx.cutOff()) {
            task.refuse(
                    ErrorKind.NO_PRIMARY, "no replica qualifies and the primary is cut off", 100);
            return Outcome.TAKEN;
        }
        Outcome outcome = placement.place(task);
        if (outcome == Outcome.TAKEN || !settings.classes()) {
            return outcome;
        }
        WorkQueue from = task.queue();
        from.remove(task);
        left(task);
        enqueue(task, false);
        return Outcome.MOVED;
    }

    /** Returns whether a statement of this length would end after the request's deadline. */
    boolean tooLate(Task task) {
        return settings.classes() && ctx.now() + expectedNanos(task) > task.request().deadline();
    }

    /** Returns the expected time from the start of a request to its answer. */
    private long expectedNanos(Task task) {
        Member primary = ctx.primary();
        boolean onPrimary = primary != null && task.lane() != Lane.REPLICA;
        double endpoint =
                onPrimary ? primary.roundTripNanos() + primary.expectedQueueingNanos() : 0;
        return classifier.expectedNanos(task.label()) + (long) endpoint + task.confirmationNanos();
    }

    void refuseTooLate(Task task) {
        refuseOverloaded(task, 20, "the request would end after its deadline");
    }

    /**
     * Learns from an executed statement.
     *
     * <p>The endpoint's answer tells the wait from the service, so a short statement that was
     * reclassified because it waited long teaches the limit as well; otherwise the limit would
     * never see the longest waits.
     */
    void served(
            Member member,
            WorkClass sentAs,
            String label,
            long queuedNanos,
            long occupied,
            int queuedThen) {
        long service = Math.max(0, occupied - queuedNanos - (long) member.roundTripNanos());
        boolean ranLong = settings.classes() && service > settings.longAfterNanos();
        WorkClass workClass = ranLong ? WorkClass.LONG : sentAs;
        if (workClass == WorkClass.SHORT) {
            InFlightLimiter limiter = member.limiter();
            limiter.answered(member.running(WorkClass.SHORT), queuedNanos, occupied, ctx.now());
            if (limiter.pausedUntil() > ctx.now()) {
                ctx.timers().at(limiter.pausedUntil(), () -> {});
            }
        }
        classifier.served(label, service);
        if (workClass == WorkClass.SHORT) {
            member.served(queuedNanos, service, queuedThen);
        }
        double average = occupied(workClass);
        occupiedNanos.put(
                workClass, average == 0 ? occupied : average + SMOOTHING * (occupied - average));
    }

    int queued(WorkClass workClass) {
        if (!settings.classes()) {
            return workClass == WorkClass.SHORT ? queued : 0;
        }
        return queues.values().stream().mapToInt(q -> q.get(workClass).size()).sum();
    }

    int queued(Lane lane, WorkClass workClass) {
        return settings.classes() ? queues.get(lane).get(workClass).size() : 0;
    }

    Placement placement() {
        return placement;
    }
}
