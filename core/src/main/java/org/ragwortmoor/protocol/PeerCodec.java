package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.requireNonEmpty;
import static org.ragwortmoor.protocol.MalformedException.requireNonNegative;
import static org.ragwortmoor.protocol.MalformedException.requirePresent;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ProxyReport;
import org.ragwortmoor.protocol.wire.AcknowledgedMessage;
import org.ragwortmoor.protocol.wire.AnnouncementAckMessage;
import org.ragwortmoor.protocol.wire.AnnouncementMessage;
import org.ragwortmoor.protocol.wire.EndpointObservationMessage;
import org.ragwortmoor.protocol.wire.PeerMessage;
import org.ragwortmoor.protocol.wire.ProxyReportMessage;

/** Converts messages between processes to and from protobuf. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Encodes an envelope. */
    public static PeerMessage encode(PeerEnvelope envelope) {
        PeerMessage.Builder builder = PeerMessage.newBuilder().setSender(envelope.sender());
        PeerBody body = envelope.body();
        if (body instanceof PeerBody.Report report) {
            builder.setReport(encode(report.report()));
        } else if (body instanceof PeerBody.Update update) {
            builder.setUpdate(UpdateCodec.encode(update.update()));
        } else if (body instanceof PeerBody.Announced announced) {
            builder.setAnnouncement(encode(announced.announcement()));
        } else if (body instanceof PeerBody.AnnouncementAck ack) {
            builder.setAnnouncementAck(
                    AnnouncementAckMessage.newBuilder()
                            .setGroup(ack.group())
                            .setEndpoint(ack.endpoint())
                            .setIncarnation(ack.incarnation()));
        } else if (body instanceof PeerBody.Consensus consensus) {
            builder.setConsensus(consensus.message());
        } else if (body instanceof PeerBody.Directory directory) {
            builder.setDirectory(directory.message());
        }
        return builder.build();
    }

    /**
     * Parses the envelope in a frame; returns an error that names the invalid field if it is
     * malformed.
     */
    public static Either<ProtocolError, PeerEnvelope> decode(ByteBuffer bytes) {
        return MalformedException.tryConvert(() -> decode(PeerMessage.parseFrom(bytes)));
    }

    private static PeerEnvelope decode(PeerMessage message) throws MalformedException {
        PeerBody body =
                switch (message.getBodyCase()) {
                    case REPORT -> new PeerBody.Report(decode(message.getReport()));
                    case UPDATE -> new PeerBody.Update(UpdateCodec.decode(message.getUpdate()));
                    case ANNOUNCEMENT -> new PeerBody.Announced(decode(message.getAnnouncement()));
                    case ANNOUNCEMENT_ACK -> decode(message.getAnnouncementAck());
                    case CONSENSUS -> new PeerBody.Consensus(message.getConsensus());
                    case DIRECTORY -> new PeerBody.Directory(message.getDirectory());
                    case BODY_NOT_SET -> throw MalformedException.missing("body");
                };
        return new PeerEnvelope(requireNonEmpty(message.getSender(), "sender"), body);
    }

    private static PeerBody decode(AnnouncementAckMessage message) throws MalformedException {
        return new PeerBody.AnnouncementAck(
                requireNonEmpty(message.getGroup(), "announcement_ack.group"),
                requireNonEmpty(message.getEndpoint(), "announcement_ack.endpoint"),
                message.getIncarnation());
    }

    private static AnnouncementMessage encode(Announcement announcement) {
        return AnnouncementMessage.newBuilder()
                .setGroup(announcement.group())
                .setSize(announcement.size())
                .setInfo(UpdateCodec.encode(announcement.info()))
                .setStatus(StateCodec.encode(announcement.status()))
                .setSourceSilentMillis(announcement.sourceSilentMillis())
                .build();
    }

    private static Announcement decode(AnnouncementMessage message) throws MalformedException {
        requirePresent(message.hasInfo(), "announcement.info");
        requirePresent(message.hasStatus(), "announcement.status");
        return new Announcement(
                requireNonEmpty(message.getGroup(), "announcement.group"),
                MalformedException.requirePositive(message.getSize(), "announcement.size"),
                UpdateCodec.decode(message.getInfo()),
                StateCodec.decode(message.getStatus()),
                message.getSourceSilentMillis());
    }

    private static ProxyReportMessage encode(ProxyReport report) {
        ProxyReportMessage.Builder builder =
                ProxyReportMessage.newBuilder()
                        .setProxy(report.proxy())
                        .setIncarnation(report.incarnation())
                        .setFailureDomain(report.failureDomain())
                        .setSequence(report.sequence())
                        .setRulesVersion(report.rulesVersion())
                        .setPreparedVersion(report.preparedVersion())
                        .setStopping(report.stopping())
                        .setSentAt(report.sentAt())
                        .setAcknowledged(
                                AcknowledgedMessage.newBuilder()
                                        .setLeaderTerm(report.acknowledged().leaderTerm())
                                        .setReportSequence(report.acknowledged().sequence())
                                        .setGroupsRevision(report.acknowledged().groupsRevision()));
        for (ProxyReport.EndpointObservation observation : report.endpoints()) {
            builder.addEndpoints(
                    EndpointObservationMessage.newBuilder()
                            .setGroup(observation.group())
                            .setEndpoint(observation.endpoint())
                            .setSilentMillis(observation.silentMillis())
                            .setConnections(observation.connections())
                            .setWanted(observation.wanted())
                            .setLongRunning(observation.longRunning())
                            .setLongWanted(observation.longWanted())
                            .setPromisedTerm(observation.promisedTerm()));
        }
        return builder.build();
    }

    private static ProxyReport decode(ProxyReportMessage message) throws MalformedException {
        List<ProxyReport.EndpointObservation> endpoints = new ArrayList<>();
        for (EndpointObservationMessage endpoint : message.getEndpointsList()) {
            endpoints.add(decode(endpoint));
        }
        return new ProxyReport(
                requireNonEmpty(message.getProxy(), "report.proxy"),
                message.getIncarnation(),
                requireNonEmpty(message.getFailureDomain(), "report.failure_domain"),
                requireNonNegative(message.getSequence(), "report.sequence"),
                requireNonNegative(message.getRulesVersion(), "report.rules_version"),
                requireNonNegative(message.getPreparedVersion(), "report.prepared_version"),
                message.getStopping(),
                message.getSentAt(),
                endpoints,
                decode(message.getAcknowledged()));
    }

    private static ProxyReport.Acknowledged decode(AcknowledgedMessage message)
            throws MalformedException {
        return new ProxyReport.Acknowledged(
                requireNonNegative(message.getLeaderTerm(), "acknowledged.leader_term"),
                requireNonNegative(message.getReportSequence(), "acknowledged.report_sequence"),
                requireNonNegative(message.getGroupsRevision(), "acknowledged.groups_revision"));
    }

    private static ProxyReport.EndpointObservation decode(EndpointObservationMessage message)
            throws MalformedException {
        return new ProxyReport.EndpointObservation(
                requireNonEmpty(message.getGroup(), "observation.group"),
                requireNonEmpty(message.getEndpoint(), "observation.endpoint"),
                requireNonNegative(message.getSilentMillis(), "observation.silent_millis"),
                requireNonNegative(message.getConnections(), "observation.connections"),
                requireNonNegative(message.getWanted(), "observation.wanted"),
                requireNonNegative(message.getLongRunning(), "observation.long_running"),
                requireNonNegative(message.getLongWanted(), "observation.long_wanted"),
                requireNonNegative(message.getPromisedTerm(), "observation.promised_term"));
    }
}
