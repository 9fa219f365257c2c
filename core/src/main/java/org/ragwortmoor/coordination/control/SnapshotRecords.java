package org.ragwortmoor.coordination.control;

import io.vavr.collection.Queue;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.ragwortmoor.coordination.control.CommandResult.Winner;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.wire.ControlSnapshotRecord;
import org.ragwortmoor.state.wire.StoredEndpoint;
import org.ragwortmoor.state.wire.StoredGroup;
import org.ragwortmoor.state.wire.StoredMember;
import org.ragwortmoor.state.wire.StoredOperation;
import org.ragwortmoor.state.wire.StoredProxy;
import org.ragwortmoor.state.wire.StoredResult;
import org.ragwortmoor.state.wire.StoredRuleFile;
import org.ragwortmoor.state.wire.StoredScope;
import org.ragwortmoor.state.wire.StoredTokenKey;

/** Converts the replicated state to and from the protobuf records of snapshots. */
final class SnapshotRecords {
    private SnapshotRecords() {}

    static ControlSnapshotRecord toRecord(ControlState state) {
        ControlSnapshotRecord.Builder record =
                ControlSnapshotRecord.newBuilder()
                        .setRevision(state.revision())
                        .setLastVersion(state.rules().lastVersion())
                        .setInForce(state.rules().inForce());
        state.groups().values().forEach(g -> record.addGroups(group(g)));
        state.members().values().forEach(m -> record.addMembers(proxy(m)));
        state.rules().accepted().values().forEach(e -> record.addRules(ruleFile(e)));
        state.rules().pending().forEach(e -> record.setPendingRules(ruleFile(e)));
        state.operations()
                .order()
                .forEach(id -> record.addOperations(result(id, state.operations())));
        state.tokenKeys().forEach(k -> record.addTokenKeys(tokenKey(k)));
        return record.build();
    }

    static ControlState fromRecord(ControlSnapshotRecord record) {
        TreeMap<String, GroupState> groups = TreeMap.empty();
        for (StoredGroup stored : record.getGroupsList()) {
            groups = groups.put(stored.getGroup(), group(stored));
        }
        TreeMap<String, MemberProxy> members = TreeMap.empty();
        for (StoredProxy stored : record.getMembersList()) {
            members = members.put(stored.getProxy(), proxy(stored));
        }
        TreeMap<Long, RuleHistory.Entry> rules = TreeMap.empty();
        for (StoredRuleFile stored : record.getRulesList()) {
            rules = rules.put(stored.getVersion(), ruleFile(stored));
        }
        Option<RuleHistory.Entry> pending =
                record.hasPendingRules()
                        ? Option.of(ruleFile(record.getPendingRules()))
                        : Option.none();
        TreeMap<String, OperationLog.Entry> results = TreeMap.empty();
        Queue<String> order = Queue.empty();
        for (StoredResult stored : record.getOperationsList()) {
            results = results.put(stored.getOperationId(), result(stored));
            order = order.enqueue(stored.getOperationId());
        }
        return new ControlState(
                record.getRevision(),
                groups,
                members,
                new RuleHistory(rules, pending, record.getLastVersion(), record.getInForce()),
                new OperationLog(results, order),
                Vector.ofAll(record.getTokenKeysList()).map(SnapshotRecords::tokenKey));
    }

    static StoredEndpoint endpoint(EndpointInfo info) {
        return StoredEndpoint.newBuilder()
                .setEndpoint(info.endpoint())
                .setIncarnation(info.incarnation())
                .setAddress(info.address())
                .setFailureDomain(info.failureDomain())
                .setSlots(info.slots())
                .setConnectionLimit(info.connectionLimit())
                .setLeaving(info.leaving())
                .build();
    }

    static EndpointInfo endpoint(StoredEndpoint stored) {
        return new EndpointInfo(
                stored.getEndpoint(),
                stored.getIncarnation(),
                stored.getAddress(),
                stored.getFailureDomain(),
                stored.getSlots(),
                stored.getConnectionLimit(),
                stored.getLeaving());
    }

    static StoredOperation operation(String id, String operator, long timeMillis) {
        return StoredOperation.newBuilder()
                .setId(id)
                .setOperator(operator)
                .setTimeMillis(timeMillis)
                .build();
    }

    static StoredScope scope(RuleScope scope) {
        return StoredScope.newBuilder().setGroup(scope.group()).setPrefix(scope.prefix()).build();
    }

    static RuleScope scope(StoredScope stored) {
        return new RuleScope(stored.getGroup(), stored.getPrefix());
    }

    static StoredTokenKey tokenKey(TokenKey key) {
        return StoredTokenKey.newBuilder()
                .setId(key.id())
                .setSecretBase64(key.secretBase64())
                .build();
    }

    static TokenKey tokenKey(StoredTokenKey stored) {
        return new TokenKey(stored.getId(), stored.getSecretBase64());
    }

    private static StoredGroup group(GroupState group) {
        StoredGroup.Builder stored =
                StoredGroup.newBuilder()
                        .setGroup(group.group())
                        .setSize(group.size())
                        .setBegunTerm(group.begunTerm())
                        .setReason(group.reason())
                        .setTerm(group.term())
                        .setRevision(group.revision());
        group.primary().forEach(stored::setPrimary);
        for (GroupState.Member member : group.endpoints().values()) {
            stored.addEndpoints(
                    StoredMember.newBuilder()
                            .setEndpoint(endpoint(member.info()))
                            .setDrained(member.drained()));
        }
        return stored.build();
    }

    private static GroupState group(StoredGroup stored) {
        TreeMap<String, GroupState.Member> endpoints = TreeMap.empty();
        for (StoredMember member : stored.getEndpointsList()) {
            endpoints =
                    endpoints.put(
                            member.getEndpoint().getEndpoint(),
                            new GroupState.Member(
                                    endpoint(member.getEndpoint()), member.getDrained()));
        }
        return new GroupState(
                stored.getGroup(),
                stored.getSize(),
                endpoints,
                stored.getBegunTerm(),
                stored.getReason(),
                stored.getTerm(),
                stored.hasPrimary() ? Option.of(stored.getPrimary()) : Option.none(),
                stored.getRevision());
    }

    private static StoredProxy proxy(MemberProxy member) {
        return StoredProxy.newBuilder()
                .setProxy(member.proxy())
                .setFailureDomain(member.failureDomain())
                .setFloorNumber(member.floorNumber())
                .setFloorGranted(member.floorGranted())
                .build();
    }

    private static MemberProxy proxy(StoredProxy stored) {
        return new MemberProxy(
                stored.getProxy(),
                stored.getFailureDomain(),
                stored.getFloorNumber(),
                stored.getFloorGranted());
    }

    private static StoredRuleFile ruleFile(RuleHistory.Entry entry) {
        StoredRuleFile.Builder stored =
                StoredRuleFile.newBuilder()
                        .setVersion(entry.version())
                        .setOperation(
                                operation(
                                        entry.operationId(), entry.operator(), entry.timeMillis()))
                        .setInForceMillis(entry.inForceMillis());
        entry.text().forEach(stored::setText);
        entry.scopes().forEach(s -> stored.addScopes(scope(s)));
        return stored.build();
    }

    private static RuleHistory.Entry ruleFile(StoredRuleFile stored) {
        return new RuleHistory.Entry(
                stored.getVersion(),
                stored.hasText() ? Option.of(stored.getText()) : Option.none(),
                TreeSet.ofAll(stored.getScopesList().stream().map(SnapshotRecords::scope).toList()),
                stored.getOperation().getOperator(),
                stored.getOperation().getId(),
                stored.getOperation().getTimeMillis(),
                stored.getInForceMillis());
    }

    private static StoredResult result(String id, OperationLog log) {
        OperationLog.Entry entry = log.find(id).get();
        StoredResult.Builder stored =
                StoredResult.newBuilder()
                        .setOperationId(id)
                        .setFingerprint(entry.fingerprint())
                        .setOutcome(entry.result().outcome().name())
                        .setValue(entry.result().value())
                        .setMessage(entry.result().message());
        entry.result()
                .winner()
                .forEach(
                        winner ->
                                stored.setWinner(
                                        operation(
                                                winner.operationId(),
                                                winner.operator(),
                                                winner.timeMillis())));
        return stored.build();
    }

    private static OperationLog.Entry result(StoredResult stored) {
        Option<Winner> winner =
                stored.hasWinner()
                        ? Option.of(
                                new Winner(
                                        stored.getWinner().getOperator(),
                                        stored.getWinner().getId(),
                                        stored.getWinner().getTimeMillis()))
                        : Option.none();
        return new OperationLog.Entry(
                stored.getFingerprint(),
                new CommandResult(
                        CommandResult.Outcome.valueOf(stored.getOutcome()),
                        stored.getValue(),
                        stored.getMessage(),
                        winner));
    }
}
