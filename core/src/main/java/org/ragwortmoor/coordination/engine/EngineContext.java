package org.ragwortmoor.coordination.engine;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/**
 * State shared by the components of one engine: time, pending actions, the group view and
 * references to each other.
 */
final class EngineContext {
    private final EngineSettings settings;
    private final String proxy;
    private final RandomGenerator random;
    private final Timers timers = new Timers();
    private final Map<Counter, Long> counters = new EnumMap<>(Counter.class);
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<Long, Task> tasks = new LinkedHashMap<>();
    private final ConnectionPool pool;
    private final Admission admission;
    private final Confirmations confirmations;
    private final StatusCollector statuses;
    private final TransactionTable transactions;
    private final RetryBudget retryBudget;
    private GroupView view;
    private List<EngineAction> actions = new ArrayList<>();
    private long now;
    private long sequence;
    private boolean stopping;

    EngineContext(EngineSettings settings, String proxy, String group, RandomGenerator random) {
        this.settings = settings;
        this.proxy = proxy;
        this.random = random;
        this.view = new GroupView(group, 1, 0, Option.none(), List.of());
        this.retryBudget = new RetryBudget(settings.retryRatio(), settings.retryBurst());
        this.pool = new ConnectionPool(this);
        this.confirmations = new Confirmations(this);
        this.statuses = new StatusCollector(this);
        this.transactions = new TransactionTable(this);
        this.admission = new Admission(this);
    }

    EngineSettings settings() {
        return settings;
    }

    String proxy() {
        return proxy;
    }

    RandomGenerator random() {
        return random;
    }

    Timers timers() {
        return timers;
    }

    void after(long nanos, Runnable action) {
        timers.schedule(now + nanos, action);
    }

    Map<Long, Task> tasks() {
        return tasks;
    }

    ConnectionPool pool() {
        return pool;
    }

    Admission admission() {
        return admission;
    }

    Confirmations confirmations() {
        return confirmations;
    }

    StatusCollector statuses() {
        return statuses;
    }

    TransactionTable transactions() {
        return transactions;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    boolean tryConsumeRetry() {
        if (retryBudget.tryConsume()) {
            return true;
        }
        count(Counter.RETRY_BUDGET_EMPTY);
        return false;
    }

    long now() {
        return now;
    }

    /** Advances the time; an earlier value is ignored. */
    void now(long time) {
        now = Math.max(now, time);
    }

    long nextSequence() {
        return ++sequence;
    }

    void count(Counter counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    Map<Counter, Long> counters() {
        return counters;
    }

    void emit(EngineAction action) {
        actions.add(action);
    }

    List<EngineAction> drainActions() {
        List<EngineAction> taken = List.copyOf(actions);
        actions = new ArrayList<>();
        return taken;
    }

    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }

    GroupView view() {
        return view;
    }

    Map<String, Member> members() {
        return members;
    }

    /** Returns the name of the current primary; empty if unknown. */
    String primaryName() {
        return view.primary().getOrElse("");
    }

    /** Returns the primary of the newest known term, or null. */
    Member primary() {
        return members.get(primaryName());
    }

    boolean isPrimary(Member member) {
        return member.name().equals(primaryName());
    }

    /**
     * Returns whether fewer endpoints than a majority answer this proxy.
     *
     * <p>Requests that need a majority cannot finish then and are refused immediately instead of at
     * their deadlines.
     */
    boolean majorityUnreachable() {
        if (members.isEmpty()) {
            return false;
        }
        long answering =
                members.values().stream()
                        .filter(m -> m.silentNanos(now) < settings.silentAfterNanos())
                        .count();
        return answering < view.majority();
    }

    /** Applies a newer view and replaces members that moved or lost their data. */
    void applyView(GroupView next) {
        view = next;
        for (Member member : List.copyOf(members.values())) {
            Option<EndpointInfo> info = next.endpoint(member.name());
            if (info.isEmpty() || member.isReplacedBy(info.get())) {
                members.remove(member.name());
                confirmations.forget(member.name());
                pool.closeAll(member, "the endpoint was replaced");
            } else {
                member.updateInfo(info.get());
            }
        }
        for (EndpointInfo info : next.endpoints()) {
            members.computeIfAbsent(
                    info.endpoint(), name -> new Member(info, admission.newLimiter(), now));
        }
    }
}
