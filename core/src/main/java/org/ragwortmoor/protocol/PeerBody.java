package org.ragwortmoor.protocol;

import com.google.protobuf.ByteString;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ProxyReport;

/** The content of a {@link PeerEnvelope}. */
public sealed interface PeerBody {
    /** The heartbeat of a proxy. */
    record Report(ProxyReport report) implements PeerBody {}

    /** The control leader's answer to the heartbeat of a proxy. */
    record Update(ControlUpdate update) implements PeerBody {}

    /** The heartbeat of an endpoint. */
    record Announced(Announcement announcement) implements PeerBody {}

    /**
     * The answer of a control process to the heartbeat of an endpoint.
     *
     * @param group group of the endpoint
     * @param endpoint the endpoint
     * @param incarnation incarnation of the endpoint in its announcement
     */
    record AnnouncementAck(String group, String endpoint, long incarnation) implements PeerBody {}

    /** A serialized message of the consensus protocol. */
    record Consensus(ByteString message) implements PeerBody {}

    /** A serialized message of the directory, about routes, servers and members. */
    record Directory(ByteString message) implements PeerBody {}

    /**
     * Returns whether this is a heartbeat or its answer, which a newer message of the same kind
     * supersedes.
     */
    default boolean heartbeat() {
        return !(this instanceof Consensus || this instanceof Directory);
    }
}
