package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.notEmpty;
import static org.ragwortmoor.protocol.MalformedException.notNegative;
import static org.ragwortmoor.protocol.MalformedException.positive;

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

/** Conversions of control updates and the group descriptions in them. */
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
                    new TokenKey(key.getId(), notEmpty(key.getSecretBase64(), "token_key.secret")));
        }
        return new ControlUpdate(
                notEmpty(message.getProxy(), "update.proxy"),
                notNegative(message.getLeaderTerm(), "update.leader_term"),
                notNegative(message.getReportSequence(), "update.report_sequence"),
                message.getReportSentAt(),
                notNegative(message.getRulesLeaseMillis(), "update.rules_lease_millis"),
                notNegative(message.getShareLeaseMillis(), "update.share_lease_millis"),
                message.hasRules() ? Option.some(decode(message.getRules())) : Option.none(),
                message.hasPending() ? Option.some(decode(message.getPending())) : Option.none(),
                groups,
                shares,
                keys,
                message.getProxyIncarnation(),
                notNegative(message.getGroupsRevision(), "update.groups_revision"));
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
                notNegative(message.getVersion(), "rules.version"), message.getText());
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
                notEmpty(message.getGroup(), "group.group"),
                positive(message.getSize(), "group.size"),
                notNegative(message.getTerm(), "group.term"),
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
                notEmpty(message.getEndpoint(), "info.endpoint"),
                message.getIncarnation(),
                notEmpty(message.getAddress(), "info.address"),
                notEmpty(message.getFailureDomain(), "info.failure_domain"),
                positive(message.getSlots(), "info.slots"),
                positive(message.getConnectionLimit(), "info.connection_limit"),
                message.getLeaving());
    }

    private static ControlUpdate.Share decode(ShareMessage message) throws MalformedException {
        return new ControlUpdate.Share(
                notEmpty(message.getGroup(), "share.group"),
                notEmpty(message.getEndpoint(), "share.endpoint"),
                notNegative(message.getFloor(), "share.floor"),
                notNegative(message.getConnections(), "share.connections"),
                notNegative(message.getLongPermits(), "share.long_permits"));
    }
}
