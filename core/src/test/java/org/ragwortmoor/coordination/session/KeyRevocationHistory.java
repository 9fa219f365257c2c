package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The requests of callers with keys, what became of them, and what is wrong with that. */
final class KeyRevocationHistory {
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Long> withdrawnAt = new HashMap<>();
    private final Set<String> executed = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final long limitNanos;
    private int lateRefusals;

    private record Request(String key, long sentAt) {}

    KeyRevocationHistory(long limitMillis) {
        limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    /** Records that the withdrawal of a key was acknowledged. */
    void withdraw(String key, long now) {
        withdrawnAt.putIfAbsent(key, now);
    }

    boolean withdrawn(String key) {
        return withdrawnAt.containsKey(key);
    }

    int withdrawnCount() {
        return withdrawnAt.size();
    }

    /** Records that a caller has sent a request. */
    void sent(String name, String key, long now) {
        requests.put(name, new Request(key, now));
    }

    /** Records that a server has executed a statement; reads and writes end with their name. */
    void executed(String id, String text) {
        String name = text.startsWith("COMMIT") ? id : text.substring(text.lastIndexOf('r'));
        Request request = requests.get(name);
        if (request == null) {
            return;
        }
        executed.add(name);
        Long withdrawn = withdrawnAt.get(request.key());
        if (withdrawn != null && request.sentAt() - withdrawn > limitNanos) {
            violations.add(name + " ran for a key that was withdrawn");
        }
        if (refused.contains(name)) {
            violations.add(name + " ran after it was refused");
        }
    }

    /**
     * Records an answer.
     *
     * @param name request that it answers
     * @param code error code; empty on success
     */
    void answered(String name, String key, String code, long now) {
        Long withdrawn = withdrawnAt.get(key);
        if (code.equals("UNAUTH") && withdrawn == null) {
            violations.add(name + " was refused with a key that is known");
        } else if (code.equals("UNAUTH") && now - withdrawn > limitNanos) {
            lateRefusals++;
        }
        if (code.equals("UNAUTH") || code.equals("OVERLOAD")) {
            refused.add(name);
            if (executed.contains(name)) {
                violations.add(name + " ran and was refused");
            }
        }
    }

    List<String> violations() {
        return violations;
    }

    int executedCount() {
        return executed.size();
    }

    /** Returns the number of refusals later than the limit after the withdrawal of the key. */
    int lateRefusals() {
        return lateRefusals;
    }
}
