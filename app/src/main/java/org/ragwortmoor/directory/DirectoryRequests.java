package org.ragwortmoor.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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
 * Requests of servers and operators. The leader serves them from the replicated log; any other
 * process passes them on to it. To be used on the loop of the process.
 */
final class DirectoryRequests {
    /** Longest time of a passed-on request; callers turn elsewhere after 1 s. */
    private static final long FORWARD_NANOS = TimeUnit.MILLISECONDS.toNanos(850);

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryRequests.class);

    private final DirectoryNode node;
    private final Map<Long, Forwarded> forwarded = new HashMap<>();
    private final Map<String, Heard> heard = new HashMap<>();
    private long nextId;

    private record Forwarded(CompletableFuture<DirectoryApi.Routes> answer, long deadline) {}

    private record Heard(long startedAtMillis, long sequence) {}

    DirectoryRequests(DirectoryNode node) {
        this.node = node;
        this.nextId = System.nanoTime();
    }

    CompletableFuture<DirectoryApi.Routes> putRoutes(RouteTable table) {
        CompletableFuture<DirectoryApi.Routes> answer = new CompletableFuture<>();
        if (!node.leads()) {
            forward(
                    ForwardedRequestMessage.newBuilder()
                            .setPutRoutes(DirectoryCodec.encode(table, true)),
                    answer);
            return answer;
        }
        long present = node.state().routes().version();
        node.propose(
                new DirectoryCommand.PutRoutes(table),
                done -> {
                    LOG.info(
                            "event=routes_put version={} previous={} routes={} outcome={}",
                            table.version(),
                            present,
                            table.routes().size(),
                            done ? "committed" : "unknown");
                    complete(answer, done, "");
                });
        return answer;
    }

    CompletableFuture<DirectoryApi.Routes> readRoutes() {
        CompletableFuture<DirectoryApi.Routes> answer = new CompletableFuture<>();
        if (!node.leads()) {
            forward(ForwardedRequestMessage.newBuilder().setReadRoutes(true), answer);
            return answer;
        }
        // A committed entry behind the request proves that no newer leader has put routes.
        node.propose(
                new DirectoryCommand.ReadBarrier(nextId++),
                done -> complete(answer, done, node.state().routes().source()));
        return answer;
    }

    CompletableFuture<DirectoryApi.Routes> announce(ServerRecord server, long sequence) {
        CompletableFuture<DirectoryApi.Routes> answer = new CompletableFuture<>();
        if (!node.leads()) {
            BooleanSupplier known = () -> !node.state().wouldChange(server);
            if (server.state() == ServerState.READY && known.getAsBoolean()) {
                // Nothing new: the leader needs no word of it.
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
        Heard last = heard.get(server.id());
        boolean late =
                last != null
                        && (server.startedAtMillis() < last.startedAtMillis()
                                || (server.startedAtMillis() == last.startedAtMillis()
                                        && sequence <= last.sequence()));
        if (!late) {
            heard.put(server.id(), new Heard(server.startedAtMillis(), sequence));
        }
        if (late || !node.state().wouldChange(server)) {
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

    private void forward(
            ForwardedRequestMessage.Builder request,
            CompletableFuture<DirectoryApi.Routes> answer) {
        long id = nextId++;
        DirectoryMessage message =
                DirectoryMessage.newBuilder().setRequest(request.setId(id)).build();
        if (!node.sendToLeader(message)) {
            complete(answer, false, "");
            return;
        }
        forwarded.put(id, new Forwarded(answer, System.nanoTime() + FORWARD_NANOS));
    }

    /** Serves a request that another process has passed on. */
    void received(ForwardedRequestMessage request, Consumer<DirectoryMessage> reply) {
        CompletableFuture<DirectoryApi.Routes> answer;
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

    private CompletableFuture<DirectoryApi.Routes> serve(ForwardedRequestMessage request) {
        return switch (request.getRequestCase()) {
            case PUT_ROUTES ->
                    DirectoryCodec.decodeRoutes(request.getPutRoutes())
                            .fold(e -> unavailable(), this::putRoutes);
            case ANNOUNCEMENT ->
                    DirectoryCodec.decodeServer(request.getAnnouncement().getServer())
                            .fold(
                                    e -> unavailable(),
                                    s -> announce(s, request.getAnnouncement().getSequence()));
            case READ_ROUTES -> readRoutes();
            case REQUEST_NOT_SET -> unavailable();
        };
    }

    private CompletableFuture<DirectoryApi.Routes> unavailable() {
        return CompletableFuture.completedFuture(
                new DirectoryApi.Routes(DirectoryApi.Outcome.UNAVAILABLE, ""));
    }

    /** Takes the leader's answer to a request that was passed on. */
    void answered(ForwardedAnswerMessage message) {
        Forwarded request = forwarded.remove(message.getId());
        if (request != null) {
            boolean done = message.getOutcome().equals(DirectoryApi.Outcome.DONE.name());
            complete(request.answer(), done, message.getSource());
        }
    }

    /** Ends requests that were passed on and not answered in time. */
    void expire(long now) {
        forwarded
                .values()
                .removeIf(
                        request -> {
                            boolean late = now - request.deadline() >= 0;
                            if (late) {
                                complete(request.answer(), false, "");
                            }
                            return late;
                        });
    }

    private static void complete(
            CompletableFuture<DirectoryApi.Routes> answer, boolean done, String source) {
        answer.complete(
                new DirectoryApi.Routes(
                        done ? DirectoryApi.Outcome.DONE : DirectoryApi.Outcome.UNAVAILABLE,
                        done ? source : ""));
    }
}
