package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the leader knows of a process of a proxy. */
final class LedgerMember {
    private final Map<String, HeldTokens> tokens = new LinkedHashMap<>();
    private final Deque<Arrived> unconfirmed = new ArrayDeque<>();
    private State state = State.NEW;
    private boolean admitted;
    private long lastReportId;
    private long lastReportAt;

    /** Part of a process in the current epoch. */
    enum State {
        /** It has not reported in the current epoch. */
        NEW,
        /** The leader knows which tokens it holds. */
        JOINED,
        /** Its lease has ended, and its tokens were taken back. */
        LAPSED
    }

    /** A report with the time of its arrival. */
    record Arrived(long id, UsageReport report, long at) {}

    LedgerMember(long firstReportId, long now) {
        lastReportId = firstReportId - 1;
        lastReportAt = now;
    }

    State state() {
        return state;
    }

    void setState(State newState) {
        state = newState;
    }

    /** Returns whether the process may have tokens. */
    boolean admitted() {
        return admitted;
    }

    void admit() {
        admitted = true;
    }

    long lastReportAt() {
        return lastReportAt;
    }

    /** Records the arrival of a report; returns false if it arrived out of order. */
    boolean arrived(long id, UsageReport report, long now) {
        if (id <= lastReportId) {
            return false;
        }
        lastReportId = id;
        lastReportAt = now;
        unconfirmed.add(new Arrived(id, report, now));
        return true;
    }

    /** Returns the newest report that arrived no later than a time, and forgets older ones. */
    Option<Arrived> confirmed(long contactAt) {
        Arrived newest = null;
        while (!unconfirmed.isEmpty() && unconfirmed.peek().at() - contactAt <= 0) {
            newest = unconfirmed.poll();
        }
        return Option.of(newest);
    }

    /** Forgets reports that arrived before a time; their answers would come too late. */
    void forgetBefore(long time) {
        unconfirmed.removeIf(arrived -> arrived.at() - time < 0);
    }

    Map<String, HeldTokens> tokens() {
        return tokens;
    }

    /** Counts all tokens of the process as used. */
    void takeBack(long now) {
        tokens.values().forEach(held -> held.takeBack(now));
        tokens.clear();
    }
}
