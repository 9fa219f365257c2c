package org.ragwortmoor.load;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.history.Access;
import org.ragwortmoor.history.RequestKind;

/**
 * Plans the requests of a workload. Equal workloads, groups and numbers of proxies give equal
 * plans. Arrivals are a Poisson process whose rate follows the demand.
 *
 * <p>Each key has one use, so that the history can be checked: {@code r/} records are put, {@code
 * c/} records are incremented, and the pairs {@code t/N/a} and {@code t/N/b} change together.
 */
public final class WorkloadGenerator implements Iterator<PlannedRequest> {
    /** Label of short work. */
    public static final String SHORT = "short";

    /** Label of long work. */
    public static final String LONG = "long";

    private final Workload workload;
    private final List<String> groups;
    private final int proxies;
    private final RandomGenerator random;
    private final long endNanos;
    private long sequence;
    private long nextAt;

    /** Creates a generator for sessions that use these groups and numbers of proxies. */
    public WorkloadGenerator(Workload workload, List<String> groups, int proxies) {
        this.workload = workload;
        this.groups = List.copyOf(groups);
        this.proxies = proxies;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(workload.seed());
        this.endNanos = TimeUnit.MILLISECONDS.toNanos(workload.durationMillis());
        advance();
    }

    /** Thinning: candidates arrive at the greatest rate and are kept in proportion to the rate. */
    private void advance() {
        double greatest = workload.demand().greatestRate();
        do {
            nextAt += (long) (random.nextExponential() * 1e9 / greatest) + 1;
        } while (nextAt < endNanos
                && random.nextDouble() * greatest >= workload.demand().rate(nextAt));
    }

    @Override
    public boolean hasNext() {
        return nextAt < endNanos;
    }

    @Override
    public PlannedRequest next() {
        if (!hasNext()) {
            throw new NoSuchElementException("the load has ended");
        }
        long at = nextAt;
        sequence++;
        String group = groups.get(random.nextInt(groups.size()));
        int proxy = random.nextInt(proxies);
        int kind = random.nextInt(100);
        PlannedRequest request;
        if (kind < workload.mix().reads()) {
            request = read(at, proxy, group);
        } else if (kind < workload.mix().reads() + workload.mix().transactions()) {
            request = transaction(at, proxy, group);
        } else {
            request = write(at, proxy, group);
        }
        advance();
        return request;
    }

    private PlannedRequest read(long at, int proxy, String group) {
        List<Access> operations =
                switch (random.nextInt(3)) {
                    case 0 -> List.of(Access.get(counter()));
                    case 1 -> pair();
                    default -> List.of(Access.get(register()));
                };
        int level = random.nextInt(100);
        boolean strong = level < workload.mix().strong();
        boolean aged = !strong && level < workload.mix().strong() + workload.mix().aged();
        boolean longWork = random.nextInt(100) < workload.mix().longs();
        return new PlannedRequest(
                at,
                proxy,
                RequestKind.READ,
                group,
                operations,
                null,
                strong ? ReadLevel.STRONG : aged ? ReadLevel.AGE : ReadLevel.SESSION,
                aged ? workload.maxAgeMillis() : 0,
                longWork ? LONG : SHORT,
                longWork ? workload.longMicros() : workload.shortMicros());
    }

    private List<Access> pair() {
        String stem = stem();
        return List.of(Access.get(stem + "/a"), Access.get(stem + "/b"));
    }

    private PlannedRequest write(long at, int proxy, String group) {
        boolean increment = random.nextInt(100) < workload.mix().increments();
        Access access =
                increment
                        ? Access.increment(counter(), 1 + random.nextInt(3))
                        : Access.put(register(), value());
        return change(at, proxy, RequestKind.WRITE, group, List.of(access));
    }

    private PlannedRequest transaction(long at, int proxy, String group) {
        String stem = stem();
        List<Access> operations =
                List.of(
                        Access.get(stem + "/a"),
                        Access.put(stem + "/a", value()),
                        Access.put(stem + "/b", value() + "b"));
        return change(at, proxy, RequestKind.TRANSACTION, group, operations);
    }

    private PlannedRequest change(
            long at, int proxy, RequestKind kind, String group, List<Access> operations) {
        return new PlannedRequest(
                at,
                proxy,
                kind,
                group,
                operations,
                workload.prefix() + "-" + sequence,
                null,
                0,
                SHORT,
                workload.shortMicros());
    }

    private String register() {
        return workload.prefix() + "/r/" + random.nextInt(workload.keys());
    }

    private String counter() {
        return workload.prefix() + "/c/" + random.nextInt(workload.keys());
    }

    private String stem() {
        return workload.prefix() + "/t/" + random.nextInt(workload.keys());
    }

    private String value() {
        return "v" + workload.seed() + "-" + sequence;
    }
}
