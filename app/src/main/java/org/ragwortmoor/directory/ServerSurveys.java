package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragwortmoor.coordination.directory.ServerStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.transport.StatementClient;

/**
 * Asks servers for their status and instructs them, as long as this process leads the control
 * group. An instruction that was delayed until another process leads could undo what that one has
 * instructed.
 */
final class ServerSurveys {
    private final StatementClient client;
    private final EventLoop loop;
    private final Supplier<BooleanSupplier> leadership;

    /**
     * Creates a starter of surveys.
     *
     * @param leadership returns a check whether this process still leads, without a leader in
     *     between
     */
    ServerSurveys(StatementClient client, EventLoop loop, Supplier<BooleanSupplier> leadership) {
        this.client = client;
        this.loop = loop;
        this.leadership = leadership;
    }

    /**
     * Asks for the status of a server. {@code onStatus} is not called without an answer. A server
     * without a free slot is reported as a replica with the position that it has applied, which is
     * a lower bound of the received one.
     */
    void start(ServerRecord server, Consumer<ServerStatus> onStatus) {
        instruct(server, new ServerInstruction.Inspection(), onStatus);
    }

    /**
     * Suspends the replication to a replica; {@code onStatus} receives its status afterwards, since
     * it may have received more entries before.
     *
     * @param aboveTerm a term that is not below any term of the group
     */
    void suspend(ServerRecord server, long aboveTerm, Consumer<ServerStatus> onStatus) {
        instruct(server, new ServerInstruction.Suspension(aboveTerm), onStatus);
    }

    /**
     * Makes a primary step down; {@code onStepDown} receives its last position once the server has
     * confirmed that it is a replica.
     */
    void stepDown(ServerRecord server, Consumer<Position> onStepDown) {
        instruct(
                server,
                new ServerInstruction.StepDown(),
                status -> onStepDown.accept(status.received()));
    }

    /** Resumes the replication to a replica; {@code onStatus} receives its status afterwards. */
    void resume(ServerRecord server, Consumer<ServerStatus> onStatus) {
        instruct(server, new ServerInstruction.Resumption(), onStatus);
    }

    private void instruct(
            ServerRecord server, ServerInstruction instruction, Consumer<ServerStatus> onStatus) {
        new ServerSurvey(server, instruction, leadership.get(), onStatus).start(client, loop);
    }
}
