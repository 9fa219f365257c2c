package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** A read outside a transaction; it has no effect, so it may be sent again. */
final class ReadTask extends Task {
    private final CallerRequest.Read read;
    private Position needed;
    private boolean mayWait = true;
    private Confirmations.Wait replicationWait;

    ReadTask(EngineContext ctx, CallerRequest.Read read) {
        super(
                ctx,
                read,
                read.level() == ReadLevel.STRONG ? Lane.PRIMARY : Lane.REPLICA,
                read.label());
        this.read = read;
        this.needed = read.position();
    }

    @Override
    void arrived() {
        if (read.operations().isEmpty() || read.operations().stream().anyMatch(Operation::writes)) {
            refuse(ErrorKind.BAD_REQUEST, "a read needs reading operations only", 0);
            return;
        }
        if (read.level() != ReadLevel.STRONG && needed.index() == 0) {
            needed = ctx().confirmations().tracker().confirmed();
        }
        workClass(ctx().admission().classify(label()));
        ctx().admission().offer(this);
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

    /** Leaves the queue until a replica has the position or the time is up. */
    void awaitReplication(long until) {
        mayWait = false;
        ctx().count(Counter.REPLICATION_WAITS);
        Timers.Timer timer = ctx().timers().at(until, this::endReplicationWait);
        replicationWait =
                ctx().confirmations()
                        .awaitReplica(
                                needed,
                                listener(
                                        () -> {
                                            timer.cancel();
                                            // The wait may end while it begins, when the
                                            // request has not left the queue yet.
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
        boolean fresh = read.level() != ReadLevel.SESSION && ctx().isPrimary(member);
        EndpointCall call = new EndpointCall.Read(read.operations(), read.serviceMicros());
        long sentAt = ctx().now();
        long[] sequence = new long[1];
        sequence[0] =
                Statement.send(
                        this,
                        member,
                        connection,
                        false,
                        call,
                        new Exchange.Handler() {
                            @Override
                            public void answered(EndpointAnswer answer) {
                                if (ReadTask.this.answered()) {
                                    return;
                                }
                                if (answer instanceof EndpointAnswer.Result result) {
                                    confirm(result, member, fresh, sequence[0], sentAt);
                                } else if (answer instanceof EndpointAnswer.Refused refused) {
                                    refused(refused);
                                }
                            }

                            @Override
                            public void lost(String reason) {
                                connectionLost(reason);
                            }
                        });
        if (fresh) {
            ctx().statuses().refresh();
        }
    }

    private void confirm(
            EndpointAnswer.Result result,
            Member member,
            boolean fresh,
            long sequence,
            long sentAt) {
        Confirmations.Listener listener =
                listener(() -> check(result, member, fresh, sentAt), () -> again(member));
        if (fresh) {
            ctx().confirmations().awaitFreshMajority(result.position(), member, sequence, listener);
        } else {
            ctx().confirmations().awaitMajority(result.position(), listener);
        }
    }

    /** Checks the answer itself: the endpoint may have changed since it was chosen. */
    private void check(EndpointAnswer.Result result, Member member, boolean fresh, long sentAt) {
        if (answered()) {
            return;
        }
        ConfirmationTracker tracker = ctx().confirmations().tracker();
        if (tracker.relate(needed) == Lineage.LOST) {
            positionLost();
            return;
        }
        Position position = result.position();
        if (!fresh && tracker.relateWithin(position, needed) != Lineage.CONTAINED) {
            again(member);
            return;
        }
        if (read.level() == ReadLevel.AGE) {
            // A confirmed read on the primary shows everything up to the time it was sent.
            long complete =
                    fresh
                            ? sentAt
                            : ctx().confirmations()
                                    .ages()
                                    .completeUpTo(position, tracker.history());
            if (complete == Long.MIN_VALUE || ctx().now() - complete > read.maxAgeNanos()) {
                again(member);
                return;
            }
        }
        ctx().count(ctx().isPrimary(member) ? Counter.PRIMARY_READS : Counter.REPLICA_READS);
        done(result.records(), position, member, false, "");
    }

    private void again(Member member) {
        if (answered()) {
            return;
        }
        ctx().count(Counter.READ_RETRIES);
        lane(Lane.PRIMARY);
        if (ctx().isPrimary(member)) {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        } else {
            ctx().admission().requeue(this);
        }
    }

    private void refused(EndpointAnswer.Refused refused) {
        if (refused.kind() == RefusalKind.BAD_REQUEST) {
            refuse(ErrorKind.BAD_REQUEST, refused.message(), 0);
        } else if (refused.kind() == RefusalKind.BUSY && !ctx().tryRetry()) {
            refuse(ErrorKind.OVERLOADED, "the endpoint has too much work; try again later", 50);
        } else {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        }
    }

    private void connectionLost(String reason) {
        if (answered()) {
            return;
        }
        if (ctx().tryRetry()) {
            ctx().admission().requeue(this);
        } else {
            refuse(ErrorKind.CONNECTION_LOST, "the connection was lost: " + reason, 50);
        }
    }

    static Confirmations.Listener listener(Runnable reached, Runnable lost) {
        return new Confirmations.Listener() {
            @Override
            public void reached() {
                reached.run();
            }

            @Override
            public void lost() {
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
    void expired() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the read was not answered in time; try again", 50);
    }

    @Override
    void revoked(ErrorKind kind, String message) {
        refuseRevoked(kind, message);
    }

    @Override
    void callerLost() {
        super.callerLost();
        refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
    }
}
