package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;

/**
 * What callers asked and were told, and what servers did; finds the promises that do not hold.
 *
 * <p>A commit counts from the time at which its caller heard of it. Commits that a promotion rolled
 * back count no longer.
 */
final class SessionHistory {
    private static final Set<String> PROMISES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD");

    /** A statement whose answer is awaited. */
    private record Asked(Object session, String database, String text, long at) {}

    private record Commit(Object session, Position position, long acknowledgedAt) {}

    private record Ran(String id, Position position) {}

    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, List<Position>> committed = new HashMap<>();
    private final List<Commit> acknowledged = new ArrayList<>();
    private final List<Ran> refused = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    void asks(Object session, String database, String id, String text, long now) {
        asked.put(id, new Asked(session, database, text, now));
    }

    /** Hears of a statement on a server; the log is that before the statement. */
    void ran(FakeServer server, String id, String text, Position log, Position commit) {
        Asked statement = asked.get(id);
        if (statement == null) {
            problems.add(id + " was sent by no caller: " + text);
            return;
        }
        if (commit != null) {
            List<Position> runs = committed.computeIfAbsent(id, i -> new ArrayList<>());
            runs.add(commit);
            if (runs.size() > 1) {
                problems.add(id + " took effect twice: " + runs);
            }
        }
        if (text.startsWith("READ")) {
            read(server, id, statement, log);
        }
    }

    private void read(FakeServer server, String id, Asked read, Position log) {
        for (Commit commit : acknowledged) {
            boolean own = read.database().equals("own") && commit.session() == read.session();
            long slack = own ? 0 : slack(read.database());
            boolean due = commit.acknowledgedAt() < read.at() - slack;
            if (due && log.compareTo(commit.position()) < 0) {
                problems.add(
                        id + " on " + server.record().id() + " at " + log + " lacks " + commit);
            }
        }
    }

    private static long slack(String database) {
        return switch (database) {
            case "strong" -> 0;
            case "bounded" -> TimeUnit.MILLISECONDS.toNanos(1_500);
            default -> TimeUnit.MILLISECONDS.toNanos(2_500);
        };
    }

    /** Hears what a caller was told. */
    void answered(String id, String answer, long now) {
        String code = answer.startsWith("ERROR ") ? answer.split(" ")[1] : "";
        if (PROMISES.contains(code)) {
            refused.add(new Ran(id, Position.ZERO));
        }
        List<Position> runs = committed.get(id);
        if (answer.contains("COMPLETE signed-") && runs != null) {
            acknowledged.add(new Commit(asked.get(id).session(), runs.get(0), now));
        }
        boolean work = asked.get(id).text().matches("(READ|WRITE).*");
        if (work && answer.contains("COMPLETE") && !answer.contains("COMPLETE signed-")) {
            problems.add(id + " succeeded without a server: " + answer);
        }
    }

    /** A promotion keeps what the new leader had received, and nothing more. */
    void promoted(Position kept) {
        acknowledged.removeIf(commit -> commit.position().compareTo(kept) > 0);
    }

    /** Returns what did not hold, when nothing runs any more. */
    List<String> problems() {
        List<String> found = new ArrayList<>(problems);
        for (Ran promise : refused) {
            if (committed.containsKey(promise.id())) {
                found.add(promise.id() + " was refused and is kept");
            }
        }
        return found;
    }
}
