package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.engine.WorkQueue.Outcome;

/**
 * Admission control: queues requests, dispatches them within the concurrency limits and rejects
 * those that would miss their deadline.
 */
final class Admission {
    private static final double SMOOTHING = 0.1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Minimum time between the refusal of a queued request and its deadline. */
    private static final long REFUSAL_LEAD_NANOS = 4 * NANOS_PER_MILLI;

    /**
     * Factor applied to the estimated queueing time on admission. Under an overload of 5 times the
     * capacity every admitted request starts as late as the estimate allows, so without a margin
     * each estimation error becomes an answer after the deadline. The queue is shorter with it but
     * never runs empty.
     */
    private static final double WAIT_SAFETY_FACTOR = 1.5;

    private final EngineContext ctx;
    private final EngineSettings settings;
    private final WorkClassifier classifier;
    private final Placement placement;
    private final Map<Destination, Map<WorkClass, WorkQueue>> queues =
            new EnumMap<>(Destination.class);
    private final Map<WorkClass, Double> averageResponseNanos = new EnumMap<>(WorkClass.class);
    private List<BooleanSupplier> urgentAttempts = new ArrayList<>();
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
        for (Destination destination : Destination.values()) {
            Map<WorkClass, WorkQueue> byClass = new EnumMap<>(WorkClass.class);
            for (WorkClass workClass : WorkClass.values()) {
                byClass.put(workClass, settings.classes() ? new FairQueue() : single);
            }
            queues.put(destination, byClass);
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

    /** Queues a new request, or refuses it immediately if it cannot finish before its deadline. */
    void submit(Task task) {
        if (queued >= settings.maxQueued()) {
            refuseOverloaded(task, 100, "too many requests wait in this proxy");
            return;
        }
        if (task.destination() == Destination.PRIMARY && ctx.majorityUnreachable()) {
            task.refuse(
                    ErrorKind.NO_PRIMARY,
                    "fewer endpoints than a majority answer this proxy; use another proxy",
                    100);
            return;
        }
        long start = ctx.now() + (long) (WAIT_SAFETY_FACTOR * expectedWaitNanos(task));
        long lateNanos = start + expectedDurationNanos(task) - task.request().deadline();
        if (settings.classes() && lateNanos > 0) {
            refuseOverloaded(
                    task, lateNanos / NANOS_PER_MILLI + 1, "the request would start too late");
            return;
        }
        enqueue(task, false);
    }

    private void refuseOverloaded(Task task, long retryAfterMillis, String message) {
        ctx.count(Counter.REFUSED_EARLY);
        task.refuse(
                ErrorKind.OVERLOADED, message + "; try again later", Math.max(1, retryAfterMillis));
    }

    private long expectedWaitNanos(Task task) {
        double responseNanos = averageResponseNanos(task.workClass());
        int ahead = queue(task).countAhead(task.request().session());
        if (ahead == 0 || responseNanos == 0) {
            return 0;
        }
        double capacity = placement.capacity(task.destination(), task.workClass());
        return capacity <= 0 ? 0 : (long) (ahead * responseNanos / capacity);
    }

    /** Returns the expected queueing time of a short request for the primary. */
    double primaryWaitNanos() {
        int waiting = queues.get(Destination.PRIMARY).get(WorkClass.SHORT).size();
        double capacity = placement.capacity(Destination.PRIMARY, WorkClass.SHORT);
        return capacity <= 0 ? 0 : waiting * averageResponseNanos(WorkClass.SHORT) / capacity;
    }

    /** Returns the average time from sending a statement to its answer, 0 if unknown. */
    private double averageResponseNanos(WorkClass workClass) {
        return averageResponseNanos.getOrDefault(workClass, 0.0);
    }

    private WorkQueue queue(Task task) {
        return queues.get(task.destination()).get(task.workClass());
    }

    /** Puts a request that was not executed back at the head of its session's queue. */
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
        long lead = Math.max(REFUSAL_LEAD_NANOS, expectedDurationNanos(task));
        long wait = remaining - Math.min(remaining / 2, lead);
        task.refusalTimer(ctx.timers().schedule(ctx.now() + wait, () -> refuseWaiting(task)));
    }

    /**
     * Refuses a request that is still queued, early enough for the answer to arrive before its
     * deadline.
     */
    private void refuseWaiting(Task task) {
        if (task.answered() || task.queue() == null) {
            return;
        }
        if (task.destination() == Destination.PRIMARY && !placement.primaryUsable()) {
            task.refuse(ErrorKind.NO_PRIMARY, "no primary can be reached; try again", 500);
        } else {
            refuseOverloaded(task, 50, "the request waited until its deadline");
        }
    }

    void remove(Task task) {
        if (task.queue() != null) {
            task.queue().remove(task);
            markDequeued(task);
        }
    }

    private void markDequeued(Task task) {
        task.queue(null);
        task.refusalTimer(null);
        queued--;
    }

    /**
     * Runs {@code attempt} ahead of queued requests, now and on each dispatch until it returns
     * true.
     */
    void sendUrgently(BooleanSupplier attempt) {
        if (!attempt.getAsBoolean()) {
            urgentAttempts.add(attempt);
        }
    }

    /** Starts all queued work that the limits allow now. */
    void dispatchQueued() {
        if (!urgentAttempts.isEmpty()) {
            List<BooleanSupplier> attempts = urgentAttempts;
            urgentAttempts = new ArrayList<>();
            attempts.forEach(this::sendUrgently);
        }
        for (Destination destination : Destination.values()) {
            for (WorkClass workClass : WorkClass.values()) {
                WorkQueue queue = queues.get(destination).get(workClass);
                if (queue.size() > 0) {
                    queue.dispatch(this::place);
                }
            }
        }
    }

    private Outcome place(Task task) {
        Outcome outcome = placement.place(task);
        if (outcome == Outcome.TAKEN && task.queue() != null) {
            markDequeued(task);
        }
        return outcome;
    }

    /** Moves a read from the replica queue to the primary queue. */
    Outcome moveToPrimary(Task task) {
        task.destination(Destination.PRIMARY);
        if (ctx.majorityUnreachable()) {
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
        markDequeued(task);
        enqueue(task, false);
        return Outcome.MOVED;
    }

    /** Returns whether a request that starts now is expected to end after its deadline. */
    boolean wouldMissDeadline(Task task) {
        return settings.classes()
                && ctx.now() + expectedDurationNanos(task) > task.request().deadline();
    }

    /** Returns the expected time from the start of a request to its answer. */
    private long expectedDurationNanos(Task task) {
        Member primary = ctx.primary();
        boolean onPrimary = primary != null && task.destination() != Destination.REPLICA;
        double endpoint =
                onPrimary ? primary.roundTripNanos() + primary.expectedQueueingNanos() : 0;
        return classifier.expectedNanos(task.label())
                + (long) endpoint
                + task.expectedConfirmationNanos();
    }

    void refuseTooLate(Task task) {
        refuseOverloaded(task, 20, "the request would end after its deadline");
    }

    /**
     * Updates the estimates and the in-flight limit from an executed statement.
     *
     * <p>The endpoint reports queueing time separately from service time, so a short statement that
     * was reclassified because of a long queueing time still updates the limit. Otherwise the
     * limiter would never see the longest queueing times.
     *
     * @param sentClass class of the statement when it was sent
     * @param queuedNanos time that the statement was queued in the endpoint
     * @param responseNanos time from sending to the answer
     * @param endpointQueueLength statements queued in the endpoint when this one ended
     */
    void recordCompletion(
            Member member,
            WorkClass sentClass,
            String label,
            long queuedNanos,
            long responseNanos,
            int endpointQueueLength) {
        long service = Math.max(0, responseNanos - queuedNanos - (long) member.roundTripNanos());
        boolean ranAsLong = settings.classes() && service > settings.longAfterNanos();
        WorkClass workClass = ranAsLong ? WorkClass.LONG : sentClass;
        if (workClass == WorkClass.SHORT) {
            InFlightLimiter limiter = member.limiter();
            limiter.recordAnswer(
                    member.running(WorkClass.SHORT), queuedNanos, responseNanos, ctx.now());
            if (limiter.pausedUntil() > ctx.now()) {
                ctx.timers().schedule(limiter.pausedUntil(), () -> {});
            }
        }
        classifier.recordServiceTime(label, service);
        if (workClass == WorkClass.SHORT) {
            member.recordShortStatement(queuedNanos, service, endpointQueueLength);
        }
        double average = averageResponseNanos(workClass);
        averageResponseNanos.put(
                workClass,
                average == 0 ? responseNanos : average + SMOOTHING * (responseNanos - average));
    }

    int queued(WorkClass workClass) {
        if (!settings.classes()) {
            return workClass == WorkClass.SHORT ? queued : 0;
        }
        return queues.values().stream().mapToInt(q -> q.get(workClass).size()).sum();
    }

    int queued(Destination destination, WorkClass workClass) {
        return settings.classes() ? queues.get(destination).get(workClass).size() : 0;
    }

    Placement placement() {
        return placement;
    }
}
