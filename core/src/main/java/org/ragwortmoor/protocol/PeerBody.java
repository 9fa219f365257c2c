package org.ragwortmoor.protocol;

import com.google.protobuf.ByteString;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ProxyReport;

/** What one process tells another in a {@link PeerEnvelope}. */
public sealed interface PeerBody {
    /** A proxy's heartbeat. */
    record Report(ProxyReport report) implements PeerBody {}

    /** The control leader's answer to a heartbeat. */
    record Update(ControlUpdate update) implements PeerBody {}

    /** An endpoint's heartbeat. */
    record Announced(Announcement announcement) implements PeerBody {}

    /**
     * A control process's answer to an endpoint's heartbeat.
     *
     * @param group group of the endpoint
     * @param endpoint the endpoint
     * @param incarnation incarnation in the announcement
     */
    record AnnouncementAck(String group, String endpoint, long incarnation) implements PeerBody {}

    /** A message of the consensus protocol, opaque to this layer. */
    record Consensus(ByteString message) implements PeerBody {}

    /** A message about routes, servers and members, opaque to this layer. */
    record Directory(ByteString message) implements PeerBody {}

    /** Returns whether a newer message of the same kind replaces this one. */
    default boolean heartbeat() {
        return !(this instanceof Consensus || this instanceof Directory);
    }
}
