package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.requireNonEmpty;
import static org.ragwortmoor.protocol.MalformedException.requireNonNegative;
import static org.ragwortmoor.protocol.MalformedException.requirePositive;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.TokenKey;
import org.ragwortmoor.protocol.wire.ControlUpdateMessage;
import org.ragwortmoor.protocol.wire.EndpointInfoMessage;
import org.ragwortmoor.protocol.wire.GroupViewMessage;
import org.ragwortmoor.protocol.wire.RulesTextMessage;
import org.ragwortmoor.protocol.wire.ShareMessage;
import org.ragwortmoor.protocol.wire.TokenKeyMessage;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;

/** Converts control updates and the group views in them to and from protobuf. */
final class UpdateCodec {
    private UpdateCodec() {}

    static ControlUpdateMessage encode(ControlUpdate update) {
        ControlUpdateMessage.Builder builder =
                ControlUpdateMessage.newBuilder()
                        .setProxy(update.proxy())
                        .setLeaderTerm(update.leaderTerm())
                        .setReportSequence(update.reportSequence())
                        .setReportSentAt(update.reportSentAt())
                        .setRulesLeaseMillis(update.rulesLeaseMillis())
                        .setShareLeaseMillis(update.shareLeaseMillis())
                        .setProxyIncarnation(update.proxyIncarnation())
                        .setGroupsRevision(update.groupsRevision());
        update.rules().forEach(rules -> builder.setRules(encode(rules)));
        update.pending().forEach(rules -> builder.setPending(encode(rules)));
        for (GroupView group : update.groups()) {
            builder.addGroups(encode(group));
        }
        for (ControlUpdate.Share share : update.shares()) {
            builder.addShares(
                    ShareMessage.newBuilder()
                            .setGroup(share.group())
                            .setEndpoint(share.endpoint())
                            .setFloor(share.floor())
                            .setConnections(share.connections())
                            .setLongPermits(share.longPermits()));
        }
        for (TokenKey key : update.tokenKeys()) {
            builder.addTokenKeys(
                    TokenKeyMessage.newBuilder()
                            .setId(key.id())
                            .setSecretBase64(key.secretBase64()));
        }
        return builder.build();
    }

    static ControlUpdate decode(ControlUpdateMessage message) throws MalformedException {
        List<GroupView> groups = new ArrayList<>();
        for (GroupViewMessage group : message.getGroupsList()) {
            groups.add(decode(group));
        }
        List<ControlUpdate.Share> shares = new ArrayList<>();
        for (ShareMessage share : message.getSharesList()) {
            shares.add(decode(share));
        }
        List<TokenKey> keys = new ArrayList<>();
        for (TokenKeyMessage key : message.getTokenKeysList()) {
            keys.add(
                    new TokenKey(
                            key.getId(),
                            requireNonEmpty(key.getSecretBase64(), "token_key.secret")));
        }
        return new ControlUpdate(
                requireNonEmpty(message.getProxy(), "update.proxy"),
                requireNonNegative(message.getLeaderTerm(), "update.leader_term"),
                requireNonNegative(message.getReportSequence(), "update.report_sequence"),
                message.getReportSentAt(),
                requireNonNegative(message.getRulesLeaseMillis(), "update.rules_lease_millis"),
                requireNonNegative(message.getShareLeaseMillis(), "update.share_lease_millis"),
                message.hasRules() ? Option.some(decode(message.getRules())) : Option.none(),
                message.hasPending() ? Option.some(decode(message.getPending())) : Option.none(),
                groups,
                shares,
                keys,
                message.getProxyIncarnation(),
                requireNonNegative(message.getGroupsRevision(), "update.groups_revision"));
    }

    private static RulesTextMessage encode(ControlUpdate.RulesText rules) {
        return RulesTextMessage.newBuilder()
                .setVersion(rules.version())
                .setText(rules.text())
                .build();
    }

    private static ControlUpdate.RulesText decode(RulesTextMessage message)
            throws MalformedException {
        return new ControlUpdate.RulesText(
                requireNonNegative(message.getVersion(), "rules.version"), message.getText());
    }

    private static GroupViewMessage encode(GroupView view) {
        GroupViewMessage.Builder builder =
                GroupViewMessage.newBuilder()
                        .setGroup(view.group())
                        .setSize(view.size())
                        .setTerm(view.term());
        view.primary().forEach(builder::setPrimary);
        for (EndpointInfo endpoint : view.endpoints()) {
            builder.addEndpoints(encode(endpoint));
        }
        return builder.build();
    }

    private static GroupView decode(GroupViewMessage message) throws MalformedException {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (EndpointInfoMessage endpoint : message.getEndpointsList()) {
            endpoints.add(decode(endpoint));
        }
        return new GroupView(
                requireNonEmpty(message.getGroup(), "group.group"),
                requirePositive(message.getSize(), "group.size"),
                requireNonNegative(message.getTerm(), "group.term"),
                message.hasPrimary() ? Option.some(message.getPrimary()) : Option.none(),
                endpoints);
    }

    static EndpointInfoMessage encode(EndpointInfo info) {
        return EndpointInfoMessage.newBuilder()
                .setEndpoint(info.endpoint())
                .setIncarnation(info.incarnation())
                .setAddress(info.address())
                .setFailureDomain(info.failureDomain())
                .setSlots(info.slots())
                .setConnectionLimit(info.connectionLimit())
                .setLeaving(info.leaving())
                .build();
    }

    static EndpointInfo decode(EndpointInfoMessage message) throws MalformedException {
        return new EndpointInfo(
                requireNonEmpty(message.getEndpoint(), "info.endpoint"),
                message.getIncarnation(),
                requireNonEmpty(message.getAddress(), "info.address"),
                requireNonEmpty(message.getFailureDomain(), "info.failure_domain"),
                requirePositive(message.getSlots(), "info.slots"),
                requirePositive(message.getConnectionLimit(), "info.connection_limit"),
                message.getLeaving());
    }

    private static ControlUpdate.Share decode(ShareMessage message) throws MalformedException {
        return new ControlUpdate.Share(
                requireNonEmpty(message.getGroup(), "share.group"),
                requireNonEmpty(message.getEndpoint(), "share.endpoint"),
                requireNonNegative(message.getFloor(), "share.floor"),
                requireNonNegative(message.getConnections(), "share.connections"),
                requireNonNegative(message.getLongPermits(), "share.long_permits"));
    }
}
