package org.ragwortmoor.standin;

import io.vavr.control.Option;
import java.nio.file.Path;
import java.util.List;
import org.ragwortmoor.protocol.FrameLimits;

/**
 * Settings of one stand-in endpoint.
 *
 * @param group group to which the endpoint belongs
 * @param groupSize stated number of endpoints of the group
 * @param endpoint identifier, unique within the group
 * @param host IP number on which it listens and from which it connects
 * @param port port on which it listens; 0 for any free one
 * @param failureDomain failure domain in which it runs
 * @param slots statements that it executes at a time
 * @param connectionLimit connections that it accepts, without administrative ones
 * @param queueLimit statements that may wait for a slot
 * @param controlAddresses addresses of the control processes, to which it announces itself
 * @param dataFolder folder of its journal; without it a restart loses everything
 * @param delays simulated times
 * @param frameLimits limits of frames
 */
public record StandinSettings(
        String group,
        int groupSize,
        String endpoint,
        String host,
        int port,
        String failureDomain,
        int slots,
        int connectionLimit,
        int queueLimit,
        List<String> controlAddresses,
        Option<Path> dataFolder,
        Delays delays,
        FrameLimits frameLimits) {

    /** Connections per endpoint in the present installations. */
    public static final int DEFAULT_CONNECTION_LIMIT = 30;

    /** Ten statements per connection would be more than any proxy sends; the rest is refused. */
    public static final int DEFAULT_QUEUE_LIMIT = 10 * DEFAULT_CONNECTION_LIMIT;

    /** Copies the list and checks the ranges that the server relies on. */
    public StandinSettings {
        controlAddresses = List.copyOf(controlAddresses);
        for (String address : controlAddresses) {
            if (!Frames.valid(address)) {
                throw new IllegalArgumentException("not an IP number and port: " + address);
            }
        }
        if (groupSize <= 0 || slots <= 0 || connectionLimit <= 0 || queueLimit < 0) {
            throw new IllegalArgumentException(
                    "group size, slots and connections must be positive, the queue not negative");
        }
    }

    /**
     * Simulated and periodic times.
     *
     * @param connectionCostMicros time before {@code Hello} is answered, in microseconds
     * @param oneWayMicros delay of each frame in each direction, in microseconds
     * @param replicationLagMicros time before a replica applies what it fetched, in microseconds
     * @param announceMillis time between announcements, in milliseconds
     * @param leavingGraceMillis time after which a leaving endpoint refuses new work, in
     *     milliseconds
     */
    public record Delays(
            long connectionCostMicros,
            long oneWayMicros,
            long replicationLagMicros,
            long announceMillis,
            long leavingGraceMillis) {
        /** The times of the present installations, without network delay or lag. */
        public static final Delays DEFAULT = new Delays(10_000, 0, 0, 500, 3_000);

        /** Returns these delays with another one-way delay. */
        public Delays withOneWayMicros(long micros) {
            return new Delays(
                    connectionCostMicros,
                    micros,
                    replicationLagMicros,
                    announceMillis,
                    leavingGraceMillis);
        }

        /** Returns these delays with another replication lag. */
        public Delays withReplicationLagMicros(long micros) {
            return new Delays(
                    connectionCostMicros, oneWayMicros, micros, announceMillis, leavingGraceMillis);
        }

        /** Returns these delays with another connection cost. */
        public Delays withConnectionCostMicros(long micros) {
            return new Delays(
                    micros, oneWayMicros, replicationLagMicros, announceMillis, leavingGraceMillis);
        }

        /** Returns these delays with another grace before a leaving endpoint refuses new work. */
        public Delays withLeavingGraceMillis(long millis) {
            return new Delays(
                    connectionCostMicros,
                    oneWayMicros,
                    replicationLagMicros,
                    announceMillis,
                    millis);
        }
    }

    /** Returns the settings of an endpoint of a group of three with the default limits. */
    public static StandinSettings of(
            String group, String endpoint, String host, int port, String failureDomain, int slots) {
        return new StandinSettings(
                group,
                3,
                endpoint,
                host,
                port,
                failureDomain,
                slots,
                DEFAULT_CONNECTION_LIMIT,
                DEFAULT_QUEUE_LIMIT,
                List.of(),
                Option.none(),
                Delays.DEFAULT,
                FrameLimits.DEFAULT);
    }

    /** Returns these settings with the given control processes. */
    public StandinSettings withControlAddresses(List<String> addresses) {
        return new StandinSettings(
                group,
                groupSize,
                endpoint,
                host,
                port,
                failureDomain,
                slots,
                connectionLimit,
                queueLimit,
                addresses,
                dataFolder,
                delays,
                frameLimits);
    }

    /** Returns these settings with a data folder. */
    public StandinSettings withDataFolder(Path folder) {
        return new StandinSettings(
                group,
                groupSize,
                endpoint,
                host,
                port,
                failureDomain,
                slots,
                connectionLimit,
                queueLimit,
                controlAddresses,
                Option.some(folder),
                delays,
                frameLimits);
    }

    /** Returns these settings with other delays. */
    public StandinSettings withDelays(Delays other) {
        return new StandinSettings(
                group,
                groupSize,
                endpoint,
                host,
                port,
                failureDomain,
                slots,
                connectionLimit,
                queueLimit,
                controlAddresses,
                dataFolder,
                other,
                frameLimits);
    }

    /** Returns these settings with other limits of connections and waiting statements. */
    public StandinSettings withLimits(int connections, int queued) {
        return new StandinSettings(
                group,
                groupSize,
                endpoint,
                host,
                port,
                failureDomain,
                slots,
                connections,
                queued,
                controlAddresses,
                dataFolder,
                delays,
                frameLimits);
    }
}
