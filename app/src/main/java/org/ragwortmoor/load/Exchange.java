package org.ragwortmoor.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.history.Access;
import org.ragwortmoor.history.Answer;
import org.ragwortmoor.history.HistoryRecorder;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.Request;
import org.ragwortmoor.history.RequestKind;
import org.ragwortmoor.settings.Address;

/**
 * Carries out one planned request with one session: opens the session if need be, sends the request
 * and, if a write's outcome is unknown, asks for the outcome through other proxies. Confined to the
 * loop of the callers.
 */
final class Exchange {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Questions for an unknown outcome; a failover ends within the first few. */
    private static final int MAX_QUESTIONS = 6;

    private static final long QUESTION_PAUSE_MILLIS = 300;

    /** A caller waits this much longer than its deadline, so that late answers are seen as late. */
    private static final long GRACE_MILLIS = 2_000;

    private static final Set<String> SESSION_ERRORS =
            Set.of("BAD_TOKEN", "TOKEN_EXPIRED", "POSITION_LOST");

    private final Callers callers;
    private final PlannedRequest planned;
    private final LoadSession session;
    private final Consumer<Result> end;
    private final List<Answer.Returned> returned = new ArrayList<>();
    private int proxy;
    private int unreached;
    private int questions;
    private long record;
    private Result result;

    /** What all exchanges of a load share. */
    record Callers(
            HttpCaller http, List<Address> proxies, HistoryRecorder history, long deadlineMillis) {}

    /**
     * The end of an exchange.
     *
     * @param outcome final outcome
     * @param first first answer to the request itself
     * @param sessionUsable whether the session can be used again
     */
    record Result(Outcome outcome, Answer first, boolean sessionUsable) {}

    Exchange(Callers callers, PlannedRequest planned, LoadSession session, Consumer<Result> end) {
        this.callers = callers;
        this.planned = planned;
        this.session = session;
        this.end = end;
        this.proxy = planned.proxy() % callers.proxies().size();
    }

    void start() {
        if (session.token().isEmpty()) {
            ObjectNode body = JSON.createObjectNode().put("principal", "load-" + session.name());
            post(
                    "/v1/sessions",
                    body,
                    answer -> {
                        session.token(answer.path("token").asText());
                        if (session.token().isEmpty()) {
                            finish(Answer.of(Outcome.NOT_RUN, "NO_SESSION"));
                        } else {
                            send();
                        }
                    },
                    failure -> finish(Answer.of(Outcome.NOT_RUN, "NO_SESSION")));
        } else {
            send();
        }
    }

    private void send() {
        record = callers.history().invoke(request(planned.kind(), planned.operations()));
        switch (planned.kind()) {
            case READ -> read();
            case WRITE -> write();
            case TRANSACTION -> begin();
            default -> throw new IllegalStateException(planned.kind() + " is not planned");
        }
    }

    private Request request(RequestKind kind, List<Access> operations) {
        return new Request(
                session.name(),
                "load",
                callers.proxies().get(proxy).toString(),
                kind,
                planned.group(),
                operations,
                planned.key(),
                false,
                planned.level(),
                planned.maxAgeMillis());
    }

    private ObjectNode body() {
        return JSON.createObjectNode()
                .put("token", session.token())
                .put("group", planned.group())
                .put("deadlineMillis", callers.deadlineMillis());
    }

    private void read() {
        ObjectNode body =
                body().put("level", planned.level().name().toLowerCase(Locale.ROOT))
                        .put("label", planned.label())
                        .put("serviceMicros", planned.serviceMicros());
        planned.operations().forEach(a -> body.withArray("keys").add(a.key()));
        if (planned.maxAgeMillis() > 0) {
            body.put("maxAgeMillis", planned.maxAgeMillis());
        }
        last("/v1/read", body);
    }

    private void write() {
        ObjectNode body =
                body().put("key", planned.key())
                        .put("repeatable", false)
                        .put("label", planned.label())
                        .put("serviceMicros", planned.serviceMicros());
        operations(body);
        last("/v1/write", body);
    }

    private void operations(ObjectNode body) {
        for (Access access : planned.operations()) {
            ObjectNode operation =
                    body.withArray("operations")
                            .addObject()
                            .put("op", access.op().name().toLowerCase(Locale.ROOT))
                            .put("key", access.key());
            if (access.op() == Access.Op.PUT) {
                operation.put("value", access.value());
            } else if (access.op() == Access.Op.INCREMENT) {
                operation.put("delta", access.delta());
            }
        }
    }

    /** Sends the call whose answer decides on the request. */
    private void last(String path, ObjectNode body) {
        post(path, body, answer -> finish(answer(answer)), this::finish);
    }

    private void begin() {
        post(
                "/v1/transactions",
                body(),
                answer -> {
                    String transaction = answer.path("transaction").asText();
                    if (transaction.isEmpty()) {
                        finish(Answer.of(Outcome.NOT_RUN, kind(answer)));
                    } else {
                        execute(transaction);
                    }
                },
                failure -> finish(Answer.of(Outcome.NOT_RUN, failure.name())));
    }

    private void execute(String transaction) {
        ObjectNode body =
                body().put("transaction", transaction)
                        .put("serviceMicros", planned.serviceMicros());
        operations(body);
        post(
                "/v1/transactions/execute",
                body,
                answer -> {
                    if (outcome(answer) == Outcome.DONE) {
                        returned.addAll(records(answer));
                        commit(transaction);
                    } else {
                        rollback(transaction, kind(answer));
                    }
                },
                failure -> rollback(transaction, failure.name()));
    }

    private void rollback(String transaction, String reason) {
        Answer answer = Answer.of(Outcome.NOT_RUN, reason);
        post(
                "/v1/transactions/rollback",
                body().put("transaction", transaction),
                ignored -> finish(answer),
                ignored -> finish(answer));
    }

    private void commit(String transaction) {
        last(
                "/v1/transactions/commit",
                body().put("transaction", transaction).put("key", planned.key()));
    }

    private void finish(CallFailure failure) {
        Outcome outcome =
                failure == CallFailure.NOT_SENT || planned.kind() == RequestKind.READ
                        ? Outcome.NOT_RUN
                        : Outcome.UNKNOWN;
        finish(Answer.of(outcome, failure.name()));
    }

    private void finish(Answer answer) {
        if (record != 0) {
            callers.history().answer(record, answer);
        }
        result = new Result(answer.outcome(), answer, !SESSION_ERRORS.contains(error(answer)));
        if (answer.outcome() == Outcome.UNKNOWN && planned.key() != null) {
            ask();
        } else {
            end.accept(result);
        }
    }

    private void ask() {
        questions++;
        proxy = (proxy + 1) % callers.proxies().size();
        long id = callers.history().invoke(request(RequestKind.OUTCOME, List.of()));
        post(
                "/v1/outcome",
                body().put("key", planned.key()),
                answer -> asked(id, settled(answer)),
                failure -> asked(id, Answer.of(Outcome.UNKNOWN, failure.name())));
    }

    /** Only {@code CANCELLED} speaks of the write; other refusals speak of the question. */
    private Answer settled(JsonNode answer) {
        Answer settled = answer(answer);
        return settled.outcome() == Outcome.NOT_RUN && !"CANCELLED".equals(settled.error())
                ? Answer.of(Outcome.UNKNOWN, settled.error())
                : settled;
    }

    private void asked(long id, Answer answer) {
        callers.history().answer(id, answer);
        if (answer.outcome() != Outcome.UNKNOWN || questions >= MAX_QUESTIONS) {
            end.accept(new Result(answer.outcome(), result.first(), result.sessionUsable()));
        } else {
            callers.http().loop().schedule(this::ask, QUESTION_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Posts to the present proxy; a proxy that cannot be reached is replaced by the next one. */
    private void post(
            String path,
            ObjectNode body,
            Consumer<JsonNode> answered,
            Consumer<CallFailure> failed) {
        callers.http()
                .post(
                        callers.proxies().get(proxy),
                        path,
                        body,
                        callers.deadlineMillis() + GRACE_MILLIS,
                        reply -> replied(reply, path, body, answered, failed));
    }

    private void replied(
            Either<CallFailure, JsonNode> reply,
            String path,
            ObjectNode body,
            Consumer<JsonNode> answered,
            Consumer<CallFailure> failed) {
        if (reply.isRight()) {
            session.token(reply.get().path("token").asText());
            answered.accept(reply.get());
        } else if (reply.getLeft() == CallFailure.NOT_SENT
                && !body.has("transaction")
                && unreached++ < callers.proxies().size()) {
            proxy = (proxy + 1) % callers.proxies().size();
            post(path, body, answered, failed);
        } else {
            failed.accept(reply.getLeft());
        }
    }

    private Answer answer(JsonNode answer) {
        List<Answer.Returned> records =
                planned.kind() == RequestKind.TRANSACTION ? returned : records(answer);
        return new Answer(
                outcome(answer),
                kind(answer),
                records,
                text(answer, "position"),
                text(answer, "endpoint"),
                answer.path("replica").asBoolean(),
                answer.path("duplicate").asBoolean(),
                text(answer, "key"));
    }

    private static String error(Answer answer) {
        return answer.error() == null ? "" : answer.error();
    }

    private static Outcome outcome(JsonNode answer) {
        return switch (answer.path("outcome").asText()) {
            case "done" -> Outcome.DONE;
            case "not-run" -> Outcome.NOT_RUN;
            default -> Outcome.UNKNOWN;
        };
    }

    private static String kind(JsonNode answer) {
        return text(answer.path("error"), "kind");
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isTextual() ? value.asText() : null;
    }

    static List<Answer.Returned> records(JsonNode answer) {
        List<Answer.Returned> records = new ArrayList<>();
        for (JsonNode record : answer.path("records")) {
            records.add(new Answer.Returned(text(record, "key"), text(record, "value")));
        }
        return records;
    }
}
