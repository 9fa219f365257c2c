package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** A read outside of a transaction. It has no effect and may be retried. */
final class ReadTask extends Task {
    private final CallerRequest.Read read;
    private Position needed;
    private boolean mayWait = true;
    private Confirmations.Wait replicationWait;

    ReadTask(EngineContext ctx, CallerRequest.Read read) {
        super(
                ctx,
                read,
                read.level() == ReadLevel.STRONG ? Destination.PRIMARY : Destination.REPLICA,
                read.label());
        this.read = read;
        this.needed = read.position();
    }

    @Override
    void start() {
        if (read.operations().isEmpty() || read.operations().stream().anyMatch(Operation::writes)) {
            refuse(ErrorKind.BAD_REQUEST, "a read needs reading operations only", 0);
            return;
        }
        if (read.level() != ReadLevel.STRONG && needed.index() == 0) {
            needed = ctx().confirmations().tracker().confirmed();
        }
        workClass(ctx().admission().classify(label()));
        ctx().admission().submit(this);
    }

    ReadRouter.Need need() {
        return new ReadRouter.Need(read.level(), needed, read.maxAgeNanos(), mayWait);
    }

    void positionLost() {
        refuse(
                ErrorKind.POSITION_LOST,
                "a failover discarded position " + needed + "; start a new session",
                0);
    }

    /** Leaves the queue until a replica has the position or the time is reached. */
    void awaitReplication(long until) {
        mayWait = false;
        ctx().count(Counter.REPLICATION_WAITS);
        Timers.Timer timer = ctx().timers().schedule(until, this::endReplicationWait);
        replicationWait =
                ctx().confirmations()
                        .awaitReplica(
                                needed,
                                waitListener(
                                        () -> {
                                            timer.cancel();
                                            // The wait can end immediately, before the request has
                                            // left the queue.
                                            ctx().after(0, this::endReplicationWait);
                                        },
                                        () -> {}));
    }

    private void endReplicationWait() {
        if (replicationWait != null) {
            replicationWait.cancel();
        }
        ctx().admission().requeue(this);
    }

    @Override
    void run(Member member, PooledConnection connection) {
        boolean needsFreshMajority = read.level() != ReadLevel.SESSION && ctx().isPrimary(member);
        EndpointCall call = new EndpointCall.Read(read.operations(), read.serviceMicros());
        long sentAt = ctx().now();
        long[] sequence = new long[1];
        sequence[0] =
                InFlightStatement.send(
                        this,
                        member,
                        connection,
                        false,
                        call,
                        new Exchange.Handler() {
                            @Override
                            public void onAnswer(EndpointAnswer answer) {
                                if (answered()) {
                                    return;
                                }
                                if (answer instanceof EndpointAnswer.Result result) {
                                    confirm(
                                            result,
                                            member,
                                            needsFreshMajority,
                                            sequence[0],
                                            sentAt);
                                } else if (answer instanceof EndpointAnswer.Refused refused) {
                                    handleRefusal(refused);
                                }
                            }

                            @Override
                            public void onConnectionLost(String reason) {
                                handleConnectionLost(reason);
                            }
                        });
        if (needsFreshMajority) {
            ctx().statuses().requestFresh();
        }
    }

    private void confirm(
            EndpointAnswer.Result result,
            Member member,
            boolean needsFreshMajority,
            long sequence,
            long sentAt) {
        Confirmations.Listener listener =
                waitListener(
                        () -> validate(result, member, needsFreshMajority, sentAt),
                        () -> retryOnPrimary(member));
        if (needsFreshMajority) {
            ctx().confirmations().awaitFreshMajority(result.position(), member, sequence, listener);
        } else {
            ctx().confirmations().awaitMajority(result.position(), listener);
        }
    }

    /**
     * Checks the position of the answer, because the endpoint may have lost entries since it was
     * chosen.
     */
    private void validate(
            EndpointAnswer.Result result, Member member, boolean needsFreshMajority, long sentAt) {
        if (answered()) {
            return;
        }
        ConfirmationTracker tracker = ctx().confirmations().tracker();
        if (tracker.relate(needed) == Lineage.LOST) {
            positionLost();
            return;
        }
        Position position = result.position();
        if (!needsFreshMajority && tracker.relateWithin(position, needed) != Lineage.CONTAINED) {
            retryOnPrimary(member);
            return;
        }
        if (read.level() == ReadLevel.AGE) {
            // A confirmed read on the primary is complete up to the time at which it was sent.
            long completeUpTo =
                    needsFreshMajority
                            ? sentAt
                            : ctx().confirmations()
                                    .ages()
                                    .completeUpTo(position, tracker.history());
            if (completeUpTo == Long.MIN_VALUE || ctx().now() - completeUpTo > read.maxAgeNanos()) {
                retryOnPrimary(member);
                return;
            }
        }
        ctx().count(ctx().isPrimary(member) ? Counter.PRIMARY_READS : Counter.REPLICA_READS);
        complete(result.records(), position, member, false, "");
    }

    private void retryOnPrimary(Member member) {
        if (answered()) {
            return;
        }
        ctx().count(Counter.READ_RETRIES);
        destination(Destination.PRIMARY);
        if (ctx().isPrimary(member)) {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        } else {
            ctx().admission().requeue(this);
        }
    }

    private void handleRefusal(EndpointAnswer.Refused refused) {
        if (refused.kind() == RefusalKind.BAD_REQUEST) {
            refuse(ErrorKind.BAD_REQUEST, refused.message(), 0);
        } else if (refused.kind() == RefusalKind.BUSY && !ctx().tryConsumeRetry()) {
            refuse(ErrorKind.OVERLOADED, "the endpoint has too much work; try again later", 50);
        } else {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        }
    }

    private void handleConnectionLost(String reason) {
        if (answered()) {
            return;
        }
        if (ctx().tryConsumeRetry()) {
            ctx().admission().requeue(this);
        } else {
            refuse(ErrorKind.CONNECTION_LOST, "the connection was lost: " + reason, 50);
        }
    }

    static Confirmations.Listener waitListener(Runnable reached, Runnable lost) {
        return new Confirmations.Listener() {
            @Override
            public void onReached() {
                reached.run();
            }

            @Override
            public void onLost() {
                lost.run();
            }
        };
    }

    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        boolean tooOld = kind == ErrorKind.NO_PRIMARY && read.level() == ReadLevel.AGE;
        super.refuse(tooOld ? ErrorKind.TOO_OLD : kind, message, retryAfterMillis);
    }

    @Override
    void answerAtDeadline() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the read was not answered in time; try again", 50);
    }

    @Override
    void onRevoked(ErrorKind kind, String message) {
        refuseRevoked(kind, message);
    }

    @Override
    void onCallerLost() {
        super.onCallerLost();
        refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
    }
}
