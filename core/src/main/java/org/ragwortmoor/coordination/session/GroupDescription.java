package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;

/** Describes a group as one line of the state dump. */
final class GroupDescription {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private GroupDescription() {}

    static String of(ServerGroup group) {
        StringBuilder line = new StringBuilder("group " + group.name());
        line.append(" leader=")
                .append(Option.of(group.leader().server()).map(s -> s.record().id()));
        line.append(" unproved_ms=").append(group.leader().nanosWithoutProof() / NANOS_PER_MILLI);
        line.append(" denied=").append(group.leader().hasDenied());
        line.append(" lease=").append(group.lease());
        line.append(" waiting=").append(group.waitingCount());
        for (Server server : group.servers().values()) {
            line.append(' ').append(server.record().id()).append('=');
            line.append(server.inUse()).append('/').append(server.connectionCount());
        }
        return line.toString();
    }
}
