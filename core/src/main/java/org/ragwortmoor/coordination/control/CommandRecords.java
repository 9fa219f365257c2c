package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortmoor.coordination.control.ControlCommand.OperatorCommand;
import org.ragwortmoor.state.wire.ActivateRulesRecord;
import org.ragwortmoor.state.wire.AddTokenKeyRecord;
import org.ragwortmoor.state.wire.BeginPromotionRecord;
import org.ragwortmoor.state.wire.CompletePromotionRecord;
import org.ragwortmoor.state.wire.ControlCommandRecord;
import org.ragwortmoor.state.wire.DrainEndpointRecord;
import org.ragwortmoor.state.wire.EndpointLeavingRecord;
import org.ragwortmoor.state.wire.GrantFloorRecord;
import org.ragwortmoor.state.wire.GroupEndpointRecord;
import org.ragwortmoor.state.wire.MemberJoinedRecord;
import org.ragwortmoor.state.wire.MemberRemovedRecord;
import org.ragwortmoor.state.wire.ReadmitEndpointRecord;
import org.ragwortmoor.state.wire.RegisterGroupRecord;
import org.ragwortmoor.state.wire.RemoveProxyRecord;
import org.ragwortmoor.state.wire.ReplaceEndpointRecord;
import org.ragwortmoor.state.wire.RuleFileRecord;
import org.ragwortmoor.state.wire.RulesInForceRecord;
import org.ragwortmoor.state.wire.StoredOperation;
import org.ragwortmoor.state.wire.StoredScope;
import org.ragwortmoor.state.wire.WithdrawRulesRecord;

/** Converts commands to and from the protobuf records of the replicated log. */
final class CommandRecords {
    private CommandRecords() {}

    static ControlCommandRecord toRecord(ControlCommand command) {
        ControlCommandRecord.Builder record = ControlCommandRecord.newBuilder();
        boolean supported =
                command instanceof OperatorCommand operatorCommand
                        ? setOperatorCommand(record, operatorCommand)
                        : setGroupCommand(record, command)
                                || setMemberOrRulesCommand(record, command);
        if (!supported) {
            throw new IllegalArgumentException(
                    "unsupported command type: " + command.getClass().getName());
        }
        return record.build();
    }

    private static boolean setGroupCommand(
            ControlCommandRecord.Builder record, ControlCommand command) {
        if (command instanceof ControlCommand.RegisterGroup c) {
            record.setRegisterGroup(
                    RegisterGroupRecord.newBuilder().setGroup(c.group()).setSize(c.size()));
        } else if (command instanceof ControlCommand.RegisterEndpoint c) {
            record.setRegisterEndpoint(
                    GroupEndpointRecord.newBuilder()
                            .setGroup(c.group())
                            .setEndpoint(SnapshotRecords.endpoint(c.info())));
        } else if (command instanceof ControlCommand.ReadmitEndpoint c) {
            record.setReadmitEndpoint(
                    ReadmitEndpointRecord.newBuilder()
                            .setGroup(c.group())
                            .setEndpoint(SnapshotRecords.endpoint(c.info()))
                            .setTerm(c.term()));
        } else if (command instanceof ControlCommand.EndpointAddressChanged c) {
            record.setEndpointAddressChanged(
                    GroupEndpointRecord.newBuilder()
                            .setGroup(c.group())
                            .setEndpoint(SnapshotRecords.endpoint(c.info())));
        } else if (command instanceof ControlCommand.EndpointLeaving c) {
            record.setEndpointLeaving(
                    EndpointLeavingRecord.newBuilder()
                            .setGroup(c.group())
                            .setEndpoint(c.endpoint())
                            .setLeaving(c.leaving()));
        } else if (command instanceof ControlCommand.BeginPromotion c) {
            record.setBeginPromotion(
                    BeginPromotionRecord.newBuilder()
                            .setGroup(c.group())
                            .setTerm(c.term())
                            .setReason(c.reason()));
        } else if (command instanceof ControlCommand.CompletePromotion c) {
            record.setCompletePromotion(
                    CompletePromotionRecord.newBuilder()
                            .setGroup(c.group())
                            .setTerm(c.term())
                            .setPrimary(c.primary()));
        } else {
            return false;
        }
        return true;
    }

    private static boolean setMemberOrRulesCommand(
            ControlCommandRecord.Builder record, ControlCommand command) {
        if (command instanceof ControlCommand.MemberProxyJoined c) {
            record.setMemberJoined(
                    MemberJoinedRecord.newBuilder()
                            .setProxy(c.proxy())
                            .setFailureDomain(c.failureDomain()));
        } else if (command instanceof ControlCommand.GrantFloor c) {
            record.setGrantFloor(GrantFloorRecord.newBuilder().setProxy(c.proxy()));
        } else if (command instanceof ControlCommand.MemberProxyRemoved c) {
            record.setMemberRemoved(
                    MemberRemovedRecord.newBuilder().setProxy(c.proxy()).setReason(c.reason()));
        } else if (command instanceof ControlCommand.ActivateRules c) {
            record.setActivateRules(
                    ActivateRulesRecord.newBuilder()
                            .setVersion(c.version())
                            .addAllPrepared(c.prepared()));
        } else if (command instanceof ControlCommand.RulesInForce c) {
            record.setRulesInForce(
                    RulesInForceRecord.newBuilder()
                            .setVersion(c.version())
                            .setTimeMillis(c.timeMillis()));
        } else {
            return false;
        }
        return true;
    }

    private static boolean setOperatorCommand(
            ControlCommandRecord.Builder record, OperatorCommand command) {
        StoredOperation operation =
                SnapshotRecords.operation(
                        command.operationId(), command.operator(), command.timeMillis());
        if (command instanceof ControlCommand.ApplyRules c) {
            record.setApplyRules(ruleFile(operation, c.expectedVersion(), c.text(), c.scopes()));
        } else if (command instanceof ControlCommand.PrepareRules c) {
            record.setPrepareRules(ruleFile(operation, c.expectedVersion(), c.text(), c.scopes()));
        } else if (command instanceof ControlCommand.WithdrawRules c) {
            record.setWithdrawRules(
                    WithdrawRulesRecord.newBuilder()
                            .setOperation(operation)
                            .setVersion(c.version()));
        } else if (command instanceof ControlCommand.DrainEndpoint c) {
            record.setDrainEndpoint(
                    DrainEndpointRecord.newBuilder()
                            .setOperation(operation)
                            .setGroup(c.group())
                            .setEndpoint(c.endpoint())
                            .setDrained(c.drained()));
        } else if (command instanceof ControlCommand.RemoveProxy c) {
            record.setRemoveProxy(
                    RemoveProxyRecord.newBuilder().setOperation(operation).setProxy(c.proxy()));
        } else if (command instanceof ControlCommand.ReplaceEndpoint c) {
            record.setReplaceEndpoint(
                    ReplaceEndpointRecord.newBuilder()
                            .setOperation(operation)
                            .setGroup(c.group())
                            .setReplaced(c.replaced())
                            .setEndpoint(SnapshotRecords.endpoint(c.info())));
        } else if (command instanceof ControlCommand.AddTokenKey c) {
            record.setAddTokenKey(
                    AddTokenKeyRecord.newBuilder()
                            .setOperation(operation)
                            .setKey(SnapshotRecords.tokenKey(c.key())));
        } else {
            return false;
        }
        return true;
    }

    private static RuleFileRecord ruleFile(
            StoredOperation operation, long expectedVersion, String text, Set<RuleScope> scopes) {
        return RuleFileRecord.newBuilder()
                .setOperation(operation)
                .setExpectedVersion(expectedVersion)
                .setText(text)
                .addAllScopes(scopes.stream().sorted().map(SnapshotRecords::scope).toList())
                .build();
    }

    static Either<String, ControlCommand> fromRecord(ControlCommandRecord record) {
        return switch (record.getCommandCase()) {
            case REGISTER_GROUP ->
                    Either.right(
                            new ControlCommand.RegisterGroup(
                                    record.getRegisterGroup().getGroup(),
                                    record.getRegisterGroup().getSize()));
            case REGISTER_ENDPOINT -> {
                GroupEndpointRecord r = record.getRegisterEndpoint();
                yield Either.right(
                        new ControlCommand.RegisterEndpoint(
                                r.getGroup(), SnapshotRecords.endpoint(r.getEndpoint())));
            }
            case READMIT_ENDPOINT -> {
                ReadmitEndpointRecord r = record.getReadmitEndpoint();
                yield Either.right(
                        new ControlCommand.ReadmitEndpoint(
                                r.getGroup(),
                                SnapshotRecords.endpoint(r.getEndpoint()),
                                r.getTerm()));
            }
            case ENDPOINT_ADDRESS_CHANGED -> {
                GroupEndpointRecord r = record.getEndpointAddressChanged();
                yield Either.right(
                        new ControlCommand.EndpointAddressChanged(
                                r.getGroup(), SnapshotRecords.endpoint(r.getEndpoint())));
            }
            case ENDPOINT_LEAVING -> {
                EndpointLeavingRecord r = record.getEndpointLeaving();
                yield Either.right(
                        new ControlCommand.EndpointLeaving(
                                r.getGroup(), r.getEndpoint(), r.getLeaving()));
            }
            case BEGIN_PROMOTION -> {
                BeginPromotionRecord r = record.getBeginPromotion();
                yield Either.right(
                        new ControlCommand.BeginPromotion(
                                r.getGroup(), r.getTerm(), r.getReason()));
            }
            case COMPLETE_PROMOTION -> {
                CompletePromotionRecord r = record.getCompletePromotion();
                yield Either.right(
                        new ControlCommand.CompletePromotion(
                                r.getGroup(), r.getTerm(), r.getPrimary()));
            }
            default -> fromMemberOrRulesRecord(record);
        };
    }

    private static Either<String, ControlCommand> fromMemberOrRulesRecord(
            ControlCommandRecord record) {
        return switch (record.getCommandCase()) {
            case MEMBER_JOINED ->
                    Either.right(
                            new ControlCommand.MemberProxyJoined(
                                    record.getMemberJoined().getProxy(),
                                    record.getMemberJoined().getFailureDomain()));
            case GRANT_FLOOR ->
                    Either.right(new ControlCommand.GrantFloor(record.getGrantFloor().getProxy()));
            case MEMBER_REMOVED ->
                    Either.right(
                            new ControlCommand.MemberProxyRemoved(
                                    record.getMemberRemoved().getProxy(),
                                    record.getMemberRemoved().getReason()));
            case ACTIVATE_RULES ->
                    Either.right(
                            new ControlCommand.ActivateRules(
                                    record.getActivateRules().getVersion(),
                                    List.copyOf(record.getActivateRules().getPreparedList())));
            case RULES_IN_FORCE ->
                    Either.right(
                            new ControlCommand.RulesInForce(
                                    record.getRulesInForce().getVersion(),
                                    record.getRulesInForce().getTimeMillis()));
            default -> fromOperatorRecord(record);
        };
    }

    private static Either<String, ControlCommand> fromOperatorRecord(ControlCommandRecord record) {
        return switch (record.getCommandCase()) {
            case APPLY_RULES -> {
                RuleFileRecord r = record.getApplyRules();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.ApplyRules(
                                op.getId(),
                                r.getExpectedVersion(),
                                r.getText(),
                                scopes(r.getScopesList()),
                                op.getOperator(),
                                op.getTimeMillis()));
            }
            case PREPARE_RULES -> {
                RuleFileRecord r = record.getPrepareRules();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.PrepareRules(
                                op.getId(),
                                r.getExpectedVersion(),
                                r.getText(),
                                scopes(r.getScopesList()),
                                op.getOperator(),
                                op.getTimeMillis()));
            }
            case WITHDRAW_RULES -> {
                WithdrawRulesRecord r = record.getWithdrawRules();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.WithdrawRules(
                                op.getId(), r.getVersion(), op.getOperator(), op.getTimeMillis()));
            }
            case DRAIN_ENDPOINT -> {
                DrainEndpointRecord r = record.getDrainEndpoint();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.DrainEndpoint(
                                op.getId(),
                                r.getGroup(),
                                r.getEndpoint(),
                                r.getDrained(),
                                op.getOperator(),
                                op.getTimeMillis()));
            }
            case REMOVE_PROXY -> {
                RemoveProxyRecord r = record.getRemoveProxy();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.RemoveProxy(
                                op.getId(), r.getProxy(), op.getOperator(), op.getTimeMillis()));
            }
            case REPLACE_ENDPOINT -> {
                ReplaceEndpointRecord r = record.getReplaceEndpoint();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.ReplaceEndpoint(
                                op.getId(),
                                r.getGroup(),
                                r.getReplaced(),
                                SnapshotRecords.endpoint(r.getEndpoint()),
                                op.getOperator(),
                                op.getTimeMillis()));
            }
            case ADD_TOKEN_KEY -> {
                AddTokenKeyRecord r = record.getAddTokenKey();
                StoredOperation op = r.getOperation();
                yield Either.right(
                        new ControlCommand.AddTokenKey(
                                op.getId(),
                                SnapshotRecords.tokenKey(r.getKey()),
                                op.getOperator(),
                                op.getTimeMillis()));
            }
            default ->
                    Either.left(
                            "unknown control command; it may have been written by a newer release");
        };
    }

    private static Set<RuleScope> scopes(List<StoredScope> stored) {
        return stored.stream().map(SnapshotRecords::scope).collect(Collectors.toSet());
    }
}
