package org.ragwortmoor.daemon;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.consensus.ConsensusAction;
import org.ragwortmoor.coordination.consensus.ConsensusEvent;
import org.ragwortmoor.coordination.consensus.ConsensusMessage;
import org.ragwortmoor.coordination.consensus.Refusal;
import org.ragwortmoor.coordination.consensus.ReplicatedLog;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ControlAction;
import org.ragwortmoor.coordination.control.ControlCommand;
import org.ragwortmoor.coordination.control.ControlEvent;
import org.ragwortmoor.coordination.control.ControlStateCodec;
import org.ragwortmoor.coordination.control.OperatorAnswer;
import org.ragwortmoor.coordination.control.OperatorRequest;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.transport.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the replicated log and the decisions of a control process on one thread.
 *
 * <p>One thread is enough: a command costs a sync of the log, a report a few microseconds. It makes
 * the order of events the order of decisions, without locks.
 */
final class ControlLoop implements PeerListener {
    /** Short against the heartbeat of 100 ms and the scan of 50 ms. */
    private static final long TICK_MILLIS = 10;

    private static final Logger LOG = LoggerFactory.getLogger(ControlLoop.class);

    private final ScheduledThreadPoolExecutor thread;
    private final ReplicatedLog log;
    private final ControlMachine machine;
    private final Map<String, String> initialMembers;
    private final Map<String, PeerListener.Reply> proxies = new HashMap<>();
    private final Map<String, Consumer<OperatorAnswer>> operators = new HashMap<>();
    private final TokenKeyBootstrap tokenKey = new TokenKeyBootstrap(new SecureRandom());
    private final CompletableFuture<Void> failure = new CompletableFuture<>();
    private PeerSender peers;
    private EndpointCaller endpoints;
    private boolean ready;

    /** Sends messages to other control processes. */
    interface PeerSender {
        /** Sends a message to a process at an address; it may be lost. */
        void send(String address, PeerBody body);
    }

    ControlLoop(
            ScheduledThreadPoolExecutor thread,
            ReplicatedLog log,
            ControlMachine machine,
            Map<String, String> initialMembers) {
        this.thread = thread;
        this.log = log;
        this.machine = machine;
        this.initialMembers = initialMembers;
    }

    /** Starts to handle events. */
    void start(PeerSender sender, EndpointCaller caller) {
        peers = sender;
        endpoints = caller;
        thread.scheduleAtFixedRate(guarded(this::tick), 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the loop and carries out what follows from it. */
    void run(Runnable task) {
        thread.execute(
                guarded(
                        () -> {
                            checkReady();
                            task.run();
                            drain();
                        }));
    }

    /**
     * A broken invariant ends the process: what it would do next could contradict what it promised
     * to others. Its durable state is valid, so it can be started again.
     */
    private Runnable guarded(Runnable task) {
        return () -> {
            if (failure.isDone()) {
                return;
            }
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("the control process stops; start it again and report this", e);
                failure.completeExceptionally(e);
            }
        };
    }

    /** Returns a future that fails when the process must stop. */
    CompletableFuture<Void> failure() {
        return failure;
    }

    /** Returns the replicated log; to be used on the loop only. */
    ReplicatedLog log() {
        return log;
    }

    /** Returns the state and decisions; to be used on the loop only. */
    ControlMachine machine() {
        return machine;
    }

    /** Returns whether this process leads and may answer. */
    boolean ready() {
        return ready;
    }

    @Override
    public void received(PeerEnvelope message, Reply reply) {
        PeerBody body = message.body();
        if (body instanceof PeerBody.Report report) {
            run(
                    () -> {
                        proxies.put(report.report().proxy(), reply);
                        machine.handle(new ControlEvent.ReportReceived(report.report()));
                    });
        } else if (body instanceof PeerBody.Announced announced) {
            acknowledge(announced.announcement(), reply);
            run(
                    () ->
                            machine.handle(
                                    new ControlEvent.AnnouncementReceived(
                                            announced.announcement())));
        } else if (body instanceof PeerBody.Consensus consensus) {
            ConsensusCodec.decode(consensus.message().toByteArray())
                    .peek(m -> run(() -> consensus(new ConsensusEvent.Received(m))))
                    .peekLeft(e -> LOG.warn("message of {} ignored: {}", message.sender(), e));
        }
    }

    /** An endpoint without acknowledgements takes its connection for silent and replaces it. */
    private static void acknowledge(Announcement announcement, Reply reply) {
        EndpointInfo info = announcement.info();
        reply.send(
                new PeerBody.AnnouncementAck(
                        announcement.group(), info.endpoint(), info.incarnation()));
    }

    /** Hands an operator's request to the decisions; the answer follows. */
    void request(OperatorRequest request, Consumer<OperatorAnswer> answer) {
        run(
                () -> {
                    operators.put(request.operation().id(), answer);
                    machine.handle(new ControlEvent.OperatorRequested(request));
                });
    }

    /** Hands an event that concerns endpoints to the decisions; to be used on the loop only. */
    void endpointEvent(ControlEvent event) {
        checkReady();
        machine.handle(event);
        drain();
    }

    private void tick() {
        checkReady();
        consensus(new ConsensusEvent.Tick());
        endpoints.expire(System.nanoTime());
        machine.handle(new ControlEvent.Tick(System.currentTimeMillis()));
        tokenKey.next(machine.state(), ready, System.currentTimeMillis(), System.nanoTime())
                .forEach(this::propose);
        drain();
    }

    /** A frozen process must notice that its lease ended before it handles what has queued up. */
    private void checkReady() {
        boolean now = log.leaderReady(System.nanoTime());
        if (now != ready) {
            ready = now;
            LOG.info(now ? "this process leads and answers" : "this process no longer answers");
            machine.handle(new ControlEvent.ReadyChanged(now));
        }
    }

    private void drain() {
        checkReady();
        ControlAction action = machine.nextAction();
        while (action != null) {
            perform(action);
            action = machine.nextAction();
        }
    }

    private void perform(ControlAction action) {
        if (action instanceof ControlAction.Propose propose) {
            propose(propose.command());
        } else if (action instanceof ControlAction.CallEndpoint call) {
            endpoints.call(call, System.nanoTime());
        } else if (action instanceof ControlAction.AnswerProxy answer) {
            PeerListener.Reply reply = proxies.get(answer.update().proxy());
            if (reply != null) {
                reply.send(new PeerBody.Update(answer.update()));
            }
        } else if (action instanceof ControlAction.AnswerOperator answer) {
            Consumer<OperatorAnswer> operator = operators.remove(answer.answer().operationId());
            if (operator != null) {
                operator.accept(answer.answer());
            }
        }
    }

    private void propose(ControlCommand command) {
        Either<Refusal, ReplicatedLog.Proposed> proposed =
                log.propose(ControlStateCodec.encodeCommand(command), System.nanoTime());
        proposed.peek(p -> p.actions().forEach(this::perform));
        proposed.peekLeft(
                refusal -> LOG.warn("{} not proposed: {}", name(command), refusal.message()));
    }

    private static String name(ControlCommand command) {
        return command.getClass().getSimpleName();
    }

    private void consensus(ConsensusEvent event) {
        List<ConsensusAction> actions = log.handle(event, System.nanoTime());
        actions.forEach(this::perform);
    }

    /** Carries out what the replicated log asks for; to be used on the loop only. */
    void perform(ConsensusAction action) {
        if (action instanceof ConsensusAction.Send send) {
            send(send.message());
        } else if (action instanceof ConsensusAction.BecameLeader became) {
            LOG.info("elected leader of term {}", became.term());
            machine.handle(new ControlEvent.BecameLeader(became.term()));
        } else if (action instanceof ConsensusAction.LostLeadership lost) {
            LOG.info("no longer leader of term {}: {}", lost.term(), lost.reason());
            machine.handle(new ControlEvent.LostLeadership());
        }
    }

    private void send(ConsensusMessage message) {
        String address = address(message.to());
        if (address != null) {
            byte[] bytes = ConsensusCodec.encode(message).toByteArray();
            peers.send(address, new PeerBody.Consensus(ByteString.copyFrom(bytes)));
        }
    }

    private String address(MemberId to) {
        List<Member> members =
                new ArrayList<>(log.status(System.nanoTime()).configuration().membersOf(to.node()));
        return members.isEmpty() ? initialMembers.get(to.node()) : members.get(0).address();
    }
}
