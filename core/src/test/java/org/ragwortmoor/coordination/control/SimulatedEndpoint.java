package org.ragwortmoor.coordination.control;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/**
 * An in-memory endpoint with promises and a log; the entry at index i was written in term {@code
 * log.get(i - 1)}.
 */
final class SimulatedEndpoint {
    final String group;
    final String name;
    final String domain;
    final List<Long> log = new ArrayList<>();
    final List<Long> promoted = new ArrayList<>();
    long incarnation = 1;
    long promised;
    boolean primary;
    boolean following;
    boolean leaving;
    boolean alive = true;
    int limit = 30;
    int connections;

    /** Time since the last answer of the followed primary in milliseconds. */
    long sourceSilentMillis;

    SimulatedEndpoint(String group, String name, String domain) {
        this.group = group;
        this.name = name;
        this.domain = domain;
    }

    EndpointKey key() {
        return new EndpointKey(group, name);
    }

    String address() {
        return "127.0.0.1:" + name;
    }

    void loseData() {
        incarnation++;
        promised = 0;
        primary = false;
        following = false;
        log.clear();
    }

    Position last() {
        return log.isEmpty() ? Position.ZERO : new Position(log.get(log.size() - 1), log.size());
    }

    Announcement announcement(int size) {
        EndpointInfo info =
                new EndpointInfo(name, incarnation, address(), domain, 5, limit, leaving);
        return new Announcement(group, size, info, status(), following ? sourceSilentMillis : 0);
    }

    EndpointStatus status() {
        List<TermStart> starts = new ArrayList<>();
        for (int i = 0; i < log.size(); i++) {
            if (starts.isEmpty() || starts.get(starts.size() - 1).term() != log.get(i)) {
                starts.add(new TermStart(log.get(i), i + 1));
            }
        }
        return new EndpointStatus(
                promised,
                primary,
                last(),
                new TermHistory(starts),
                0,
                0,
                connections,
                leaving,
                incarnation);
    }

    EndpointAnswer answer(EndpointCall call) {
        if (call instanceof EndpointCall.Fence fence) {
            if (fence.term() < promised) {
                return refused(RefusalKind.FENCED);
            }
            promise(fence.term());
        } else if (call instanceof EndpointCall.Promote promote) {
            if (promote.term() != promised) {
                return refused(RefusalKind.FENCED);
            }
            if (!primary) {
                primary = true;
                following = false;
                log.add(promised);
                promoted.add(promised);
            }
        } else if (call instanceof EndpointCall.Follow follow) {
            if (follow.term() < promised) {
                return refused(RefusalKind.FENCED);
            }
            if (!following || follow.term() > promised) {
                sourceSilentMillis = 0;
            }
            promise(follow.term());
            following = !primary;
        }
        return new EndpointAnswer.StatusReport(status());
    }

    /**
     * Copies entries of the primary's log, as fetches do, and returns whether the logs are equally
     * long.
     */
    boolean fetch(SimulatedEndpoint from, int entries) {
        if (!following || !from.primary || from.promised != promised) {
            return false;
        }
        sourceSilentMillis = 0;
        int common = 0;
        while (common < Math.min(log.size(), from.log.size())
                && log.get(common).equals(from.log.get(common))) {
            common++;
        }
        log.subList(common, log.size()).clear();
        for (int i = common; i < Math.min(from.log.size(), common + entries); i++) {
            log.add(from.log.get(i));
        }
        return log.size() == from.log.size();
    }

    private void promise(long term) {
        if (term > promised) {
            promised = term;
            primary = false;
            following = false;
        }
    }

    private EndpointAnswer refused(RefusalKind kind) {
        return new EndpointAnswer.Refused(kind, "promised term " + promised, promised, 0);
    }
}
