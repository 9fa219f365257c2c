package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.notEmpty;
import static org.ragwortmoor.protocol.MalformedException.notNegative;
import static org.ragwortmoor.protocol.MalformedException.present;

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

/** Converts messages between processes to protobuf and back. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the message of an envelope. */
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

    /** Returns the envelope in the bytes of one frame, or an error that names the invalid part. */
    public static Either<ProtocolError, PeerEnvelope> decode(ByteBuffer bytes) {
        return MalformedException.guard(() -> decode(PeerMessage.parseFrom(bytes)));
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
        return new PeerEnvelope(notEmpty(message.getSender(), "sender"), body);
    }

    private static PeerBody decode(AnnouncementAckMessage message) throws MalformedException {
        return new PeerBody.AnnouncementAck(
                notEmpty(message.getGroup(), "announcement_ack.group"),
                notEmpty(message.getEndpoint(), "announcement_ack.endpoint"),
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
        present(message.hasInfo(), "announcement.info");
        present(message.hasStatus(), "announcement.status");
        return new Announcement(
                notEmpty(message.getGroup(), "announcement.group"),
                MalformedException.positive(message.getSize(), "announcement.size"),
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
                notEmpty(message.getProxy(), "report.proxy"),
                message.getIncarnation(),
                notEmpty(message.getFailureDomain(), "report.failure_domain"),
                notNegative(message.getSequence(), "report.sequence"),
                notNegative(message.getRulesVersion(), "report.rules_version"),
                notNegative(message.getPreparedVersion(), "report.prepared_version"),
                message.getStopping(),
                message.getSentAt(),
                endpoints,
                decode(message.getAcknowledged()));
    }

    private static ProxyReport.Acknowledged decode(AcknowledgedMessage message)
            throws MalformedException {
        return new ProxyReport.Acknowledged(
                notNegative(message.getLeaderTerm(), "acknowledged.leader_term"),
                notNegative(message.getReportSequence(), "acknowledged.report_sequence"),
                notNegative(message.getGroupsRevision(), "acknowledged.groups_revision"));
    }

    private static ProxyReport.EndpointObservation decode(EndpointObservationMessage message)
            throws MalformedException {
        return new ProxyReport.EndpointObservation(
                notEmpty(message.getGroup(), "observation.group"),
                notEmpty(message.getEndpoint(), "observation.endpoint"),
                notNegative(message.getSilentMillis(), "observation.silent_millis"),
                notNegative(message.getConnections(), "observation.connections"),
                notNegative(message.getWanted(), "observation.wanted"),
                notNegative(message.getLongRunning(), "observation.long_running"),
                notNegative(message.getLongWanted(), "observation.long_wanted"),
                notNegative(message.getPromisedTerm(), "observation.promised_term"));
    }
}
