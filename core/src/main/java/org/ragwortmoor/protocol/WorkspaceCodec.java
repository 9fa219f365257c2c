package org.ragwortmoor.protocol;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.protocol.wire.RouteTableChangeMessage;
import org.ragwortmoor.protocol.wire.RouteTableMessage;
import org.ragwortmoor.protocol.wire.WorkspaceMessage;
import org.ragwortmoor.state.workspace.RateLimit;
import org.ragwortmoor.state.workspace.Workspace;
import org.ragwortmoor.state.workspace.WorkspaceChanges;

/** Converts workspaces to and from protobuf. */
final class WorkspaceCodec {
    private WorkspaceCodec() {}

    static WorkspaceMessage encode(Workspace workspace) {
        WorkspaceMessage.Builder builder =
                WorkspaceMessage.newBuilder()
                        .setName(workspace.name())
                        .addAllKeys(workspace.keys())
                        .setPriority(workspace.priority());
        workspace
                .limit()
                .forEach(
                        limit ->
                                builder.setLimited(true)
                                        .setRatePerSecond(limit.ratePerSecond())
                                        .setBurst(limit.burst()));
        return builder.build();
    }

    static void encode(WorkspaceChanges changes, RouteTableChangeMessage.Builder builder) {
        builder.setHasWorkspaces(true).addAllRemovedWorkspaces(changes.removed());
        changes.changed().forEach(workspace -> builder.addChangedWorkspaces(encode(workspace)));
    }

    static Option<List<Workspace>> decode(RouteTableMessage message) {
        return Option.when(message.getHasWorkspaces(), () -> decode(message.getWorkspacesList()));
    }

    static Option<WorkspaceChanges> decode(RouteTableChangeMessage message) {
        return Option.when(
                message.getHasWorkspaces(),
                () ->
                        new WorkspaceChanges(
                                message.getRemovedWorkspacesList(),
                                decode(message.getChangedWorkspacesList())));
    }

    private static List<Workspace> decode(List<WorkspaceMessage> messages) {
        return messages.stream().map(WorkspaceCodec::decode).toList();
    }

    private static Workspace decode(WorkspaceMessage message) {
        return new Workspace(
                message.getName(),
                message.getKeysList(),
                message.getPriority(),
                Option.when(
                        message.getLimited(),
                        () -> new RateLimit(message.getRatePerSecond(), message.getBurst())));
    }
}
