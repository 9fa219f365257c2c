package org.ragwortmoor.directory;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.ForwardedAnswerMessage;
import org.ragwortmoor.protocol.wire.ForwardedRequestMessage;
import org.ragwortmoor.protocol.wire.ServerAnnouncementMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.RouteTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the requests of servers and operators. The leader serves them from the replicated log; any
 * other process forwards them to the leader. Confined to the event loop.
 */
final class DirectoryRequests implements DirectoryApi {
    /** Timeout of a forwarded request; callers try another process after 1 s. */
    private static final long FORWARD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(850);

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryRequests.class);

    private final DirectoryNode node;
    private final AnnouncementGate gate;
    private final Map<Long, PendingForward> pendingForwards = new HashMap<>();
    private final Map<String, LastAnnouncement> lastAnnouncements = new HashMap<>();
    private long nextId;

    private record PendingForward(CompletableFuture<RoutesResult> answer, long deadline) {}

    private record LastAnnouncement(long startedAtMillis, long sequence) {}

    DirectoryRequests(DirectoryNode node, PrometheusRegistry registry) {
        this.node = node;
        this.gate = new AnnouncementGate(registry, System::currentTimeMillis, System::nanoTime);
        this.nextId = System.nanoTime();
    }

    @Override
    public CompletionStage<Outcome> putRoutes(RouteTable table) {
        return storeRoutes(table).thenApply(RoutesResult::outcome);
    }

    private CompletableFuture<RoutesResult> storeRoutes(RouteTable table) {
        CompletableFuture<RoutesResult> answer = new CompletableFuture<>();
        if (!node.leads()) {
            forward(
                    ForwardedRequestMessage.newBuilder()
                            .setPutRoutes(DirectoryCodec.encode(table, true)),
                    answer);
            return answer;
        }
        long previousVersion = node.state().routes().version();
        node.propose(
                new DirectoryCommand.PutRoutes(table),
                done -> {
                    LOG.info(
                            "event=routes_put version={} previous={} routes={} outcome={}",
                            table.version(),
                            previousVersion,
                            table.routes().size(),
                            done ? "committed" : "unknown");
                    complete(answer, done, "");
                });
        return answer;
    }

    @Override
    public CompletableFuture<RoutesResult> readRoutes() {
        CompletableFuture<RoutesResult> answer = new CompletableFuture<>();
        if (!node.leads()) {
            forward(ForwardedRequestMessage.newBuilder().setReadRoutes(true), answer);
            return answer;
        }
        // An entry committed after the request proves that no newer leader has changed the routes.
        node.propose(
                new DirectoryCommand.ReadBarrier(nextId++),
                done -> complete(answer, done, node.state().routes().source()));
        return answer;
    }

    @Override
    public void recordUnreadable(String server, String reason) {
        gate.recordUnreadable(server, reason);
    }

    @Override
    public CompletionStage<AnnouncementResult> announce(ServerRecord server, long sequence) {
        Option<String> problem = gate.problem(server);
        return problem.isDefined()
                ? CompletableFuture.completedFuture(
                        new AnnouncementResult(Outcome.REFUSED, problem.get()))
                : storeServer(server, sequence)
                        .thenApply(r -> new AnnouncementResult(r.outcome(), ""));
    }

    private CompletableFuture<RoutesResult> storeServer(ServerRecord server, long sequence) {
        CompletableFuture<RoutesResult> answer = new CompletableFuture<>();
        if (!node.leads()) {
            if (server.state() == ServerState.READY && !node.state().wouldChange(server)) {
                // The announcement changes nothing, so it is not forwarded.
                complete(answer, true, "");
                return answer;
            }
            forward(
                    ForwardedRequestMessage.newBuilder()
                            .setAnnouncement(
                                    ServerAnnouncementMessage.newBuilder()
                                            .setServer(DirectoryCodec.encode(server))
                                            .setSequence(sequence)),
                    answer);
            return answer;
        }
        boolean stale = isStale(server, sequence);
        if (!stale) {
            lastAnnouncements.put(
                    server.id(), new LastAnnouncement(server.startedAtMillis(), sequence));
        }
        if (stale || !node.state().wouldChange(server)) {
            complete(answer, true, "");
            return answer;
        }
        node.propose(
                new DirectoryCommand.PutServer(server),
                done -> {
                    LOG.info(
                            "event=server_announced server={} group={} state={} primary={} born={}"
                                    + " sequence={} outcome={}",
                            server.id(),
                            server.group(),
                            server.state(),
                            server.primary(),
                            server.startedAtMillis(),
                            sequence,
                            done ? "committed" : "unknown");
                    complete(answer, done, "");
                });
        return answer;
    }

    /**
     * Returns whether an announcement was sent before one that has arrived. An incarnation only
     * goes on to later states, so an announcement of a later one always counts.
     */
    private boolean isStale(ServerRecord server, long sequence) {
        LastAnnouncement last = lastAnnouncements.get(server.id());
        if (last == null || server.startedAtMillis() > last.startedAtMillis()) {
            return false;
        }
        boolean sameIncarnation = server.startedAtMillis() == last.startedAtMillis();
        boolean laterState =
                node.state()
                        .servers()
                        .get(server.id())
                        .exists(known -> server.state().compareTo(known.state()) > 0);
        return !sameIncarnation || (sequence <= last.sequence() && !laterState);
    }

    private void forward(
            ForwardedRequestMessage.Builder request, CompletableFuture<RoutesResult> answer) {
        long id = nextId++;
        DirectoryMessage message =
                DirectoryMessage.newBuilder().setRequest(request.setId(id)).build();
        if (!node.sendToLeader(message)) {
            complete(answer, false, "");
            return;
        }
        pendingForwards.put(
                id, new PendingForward(answer, System.nanoTime() + FORWARD_TIMEOUT_NANOS));
    }

    /** Serves a request that another process has forwarded. */
    void serveForwarded(ForwardedRequestMessage request, Consumer<DirectoryMessage> reply) {
        CompletableFuture<RoutesResult> answer;
        if (!node.leads()) {
            answer = new CompletableFuture<>();
            complete(answer, false, "");
        } else {
            answer = serve(request);
        }
        answer.thenAccept(
                routes ->
                        reply.accept(
                                DirectoryMessage.newBuilder()
                                        .setAnswer(
                                                ForwardedAnswerMessage.newBuilder()
                                                        .setId(request.getId())
                                                        .setOutcome(routes.outcome().name())
                                                        .setSource(routes.source()))
                                        .build()));
    }

    private CompletableFuture<RoutesResult> serve(ForwardedRequestMessage request) {
        return switch (request.getRequestCase()) {
            case PUT_ROUTES ->
                    DirectoryCodec.decodeRoutes(request.getPutRoutes())
                            .fold(e -> unavailable(), this::storeRoutes);
            case ANNOUNCEMENT ->
                    DirectoryCodec.decodeServer(request.getAnnouncement().getServer())
                            .fold(
                                    e -> unavailable(),
                                    s ->
                                            gate.problem(s).isDefined()
                                                    ? unavailable()
                                                    : storeServer(
                                                            s,
                                                            request.getAnnouncement()
                                                                    .getSequence()));
            case READ_ROUTES -> readRoutes();
            case REQUEST_NOT_SET -> unavailable();
        };
    }

    private CompletableFuture<RoutesResult> unavailable() {
        return CompletableFuture.completedFuture(new RoutesResult(Outcome.UNAVAILABLE, ""));
    }

    /** Handles the leader's answer to a forwarded request. */
    void handleAnswer(ForwardedAnswerMessage message) {
        PendingForward request = pendingForwards.remove(message.getId());
        if (request != null) {
            boolean done = message.getOutcome().equals(Outcome.DONE.name());
            complete(request.answer(), done, message.getSource());
        }
    }

    /** Completes forwarded requests that were not answered in time as unavailable. */
    void expire(long now) {
        pendingForwards
                .values()
                .removeIf(
                        request -> {
                            boolean expired = now - request.deadline() >= 0;
                            if (expired) {
                                complete(request.answer(), false, "");
                            }
                            return expired;
                        });
    }

    /** Answers every forwarded request as unavailable, because this process ends. */
    void close() {
        pendingForwards.values().forEach(request -> complete(request.answer(), false, ""));
        pendingForwards.clear();
    }

    private static void complete(
            CompletableFuture<RoutesResult> answer, boolean done, String source) {
        answer.complete(
                new RoutesResult(done ? Outcome.DONE : Outcome.UNAVAILABLE, done ? source : ""));
    }
}
