package org.ragwortmoor.bench;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.ragwortmoor.coordination.engine.CallerAnswer;
import org.ragwortmoor.coordination.engine.CallerRequest;
import org.ragwortmoor.coordination.engine.EngineAction;
import org.ragwortmoor.coordination.engine.EngineEvent;
import org.ragwortmoor.coordination.engine.EngineSettings;
import org.ragwortmoor.coordination.engine.GroupEngine;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * An engine whose endpoints answer status requests and pings at once. Statements are answered by
 * the benchmark; writes of the waiting sessions are never answered, so that they stay queued.
 */
final class EngineFixture {
    private static final long MILLI = 1_000_000L;
    private static final long HOUR = 3_600_000 * MILLI;
    private static final int CONNECTIONS = 4;
    private static final int SERVICE_MICROS = 25_000;
    private static final Position HEAD = new Position(1, 1);
    private static final TermHistory HISTORY = TermHistory.EMPTY.with(new TermStart(1, 1));
    private static final List<Operation> PUT = List.of(new Operation.Put("vehicle/1", "free"));
    private static final List<Operation> GET = List.of(new Operation.Get("vehicle/1"));

    /** Time between requests; 20,000 requests/s in one group. */
    private static final long STEP_NANOS = 50_000;

    private final GroupEngine engine;
    private final Map<Long, String> connections = new HashMap<>();
    private final String[] sessions = new String[256];
    private long now = HOUR;
    private long lastRequest;
    private EngineAction.Send statement;
    private CallerAnswer reply;

    EngineFixture(int endpoints, int waiting, long seed) {
        engine = new GroupEngine(EngineSettings.defaults(), "proxy", "group", new Random(seed));
        for (int i = 0; i < sessions.length; i++) {
            sessions[i] = "session-" + i;
        }
        List<EndpointInfo> infos =
                IntStream.range(0, endpoints)
                        .mapToObj(i -> new EndpointInfo("e" + i, 1, "a" + i, "d", 5, 30, false))
                        .toList();
        handle(
                new EngineEvent.GroupChanged(
                        new GroupView("group", endpoints, 1, Option.of("e0"), infos)));
        for (EndpointInfo info : infos) {
            handle(new EngineEvent.ShareLeased(info.endpoint(), 1, CONNECTIONS, 0, 1_000 * HOUR));
        }
        now += 200 * MILLI;
        handle(new EngineEvent.Tick());
        for (int i = 0; i < 20; i++) {
            handle(new EngineEvent.RequestArrived(write(sessions[i], 10 * HOUR)));
            EngineAction.Send sent = statement;
            now += SERVICE_MICROS * 1_000;
            answer(sent);
        }
        for (int i = 0; i < waiting + (waiting > 0 ? CONNECTIONS : 0); i++) {
            handle(new EngineEvent.RequestArrived(write("waiting-" + i, 1_000 * HOUR)));
        }
    }

    private CallerRequest write(String session, long untilDeadline) {
        long id = ++lastRequest;
        WriteIdentity identity = new WriteIdentity("key-" + id, 1);
        return new CallerRequest.Write(
                id, session, PUT, identity, false, "book", SERVICE_MICROS, now + untilDeadline);
    }

    /** Routes a session read to a replica and takes its answer. */
    CallerAnswer read() {
        now += STEP_NANOS;
        long id = ++lastRequest;
        String session = sessions[(int) (id % sessions.length)];
        CallerRequest read =
                new CallerRequest.Read(
                        id, session, GET, ReadLevel.SESSION, 0, HEAD, "lookup", 0, now + HOUR);
        reply = null;
        handle(new EngineEvent.RequestArrived(read));
        answer(statement);
        if (!(reply instanceof CallerAnswer.Done done) || !done.replica()) {
            throw new IllegalStateException("no replica served the read: " + reply);
        }
        return reply;
    }

    /** Refuses a write that would end after its deadline. */
    CallerAnswer refuse() {
        now += STEP_NANOS;
        reply = null;
        handle(
                new EngineEvent.RequestArrived(
                        write(sessions[(int) (lastRequest % sessions.length)], MILLI)));
        if (!(reply instanceof CallerAnswer.NotRun)) {
            throw new IllegalStateException("the write was not refused: " + reply);
        }
        return reply;
    }

    private void answer(EngineAction.Send sent) {
        boolean read = sent.call() instanceof EndpointCall.Read;
        List<ReadRecord> records =
                read ? List.of(new ReadRecord("vehicle/1", Option.of("free"))) : List.of();
        EndpointAnswer.Result result = new EndpointAnswer.Result(records, HEAD, false, 0, 0);
        handle(new EngineEvent.AnswerReceived(sent.connection(), sent.exchange(), result));
    }

    private void handle(EngineEvent event) {
        List<EngineAction> actions = engine.handle(event, now);
        for (EngineAction action : actions) {
            perform(action);
        }
    }

    private void perform(EngineAction action) {
        if (action instanceof EngineAction.Reply replied) {
            reply = replied.answer();
        } else if (action instanceof EngineAction.OpenConnection open) {
            connections.put(open.connection(), open.endpoint());
            handle(new EngineEvent.ConnectionOpened(open.endpoint(), open.connection()));
        } else if (action instanceof EngineAction.Send send) {
            if (send.call() instanceof EndpointCall.Read
                    || send.call() instanceof EndpointCall.Write) {
                statement = send;
            } else {
                EndpointAnswer status = new EndpointAnswer.StatusReport(status(send.connection()));
                handle(new EngineEvent.AnswerReceived(send.connection(), send.exchange(), status));
            }
        }
    }

    private EndpointStatus status(long connection) {
        boolean primary = connections.get(connection).equals("e0");
        return new EndpointStatus(1, primary, HEAD, HISTORY, 0, 0, CONNECTIONS, false);
    }

    /** Creates one fixture per group. */
    static List<EngineFixture> create(int groups, int endpoints, int waiting) {
        List<EngineFixture> fixtures = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            fixtures.add(new EngineFixture(endpoints, waiting, i));
        }
        return fixtures;
    }
}
