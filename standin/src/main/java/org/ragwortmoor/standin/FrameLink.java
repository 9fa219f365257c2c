package org.ragwortmoor.standin;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.standin.FaultSwitch.Direction;

/**
 * Passes the frames of one accepted connection, subject to delay and faults. Confined to the event
 * loop.
 *
 * <p>A connection that lost a frame stays silent after the fault has ended: over a real network TCP
 * would repeat the lost bytes or end the connection, but never go on without them.
 */
final class FrameLink {
    private final Channel channel;
    private final ServerState server;
    private final DelayLine inbound;
    private final DelayLine outbound;
    private PeerNames peer;
    private boolean silent;
    private boolean lostFrame;
    private Runnable releaseHeld;

    FrameLink(Channel channel, ServerState server) {
        this.channel = channel;
        this.server = server;
        this.inbound = new DelayLine(server.loop);
        this.outbound = new DelayLine(server.loop);
        this.peer = PeerNames.of(channel.remoteAddress());
    }

    void name(String client) {
        peer = peer.withClient(client);
    }

    PeerNames peer() {
        return peer;
    }

    void silence() {
        silent = true;
    }

    /** Passes a received frame on, unless it is dropped. */
    void receive(Runnable delivery) {
        inbound.offer(
                server.delayMicros(),
                () -> {
                    if (!drops(Direction.INBOUND) && channel.isActive()) {
                        delivery.run();
                    }
                });
    }

    /** Sends a frame, unless it is dropped. */
    void send(EndpointFrame frame) {
        outbound.offer(
                server.delayMicros(),
                () -> {
                    if (!drops(Direction.OUTBOUND)) {
                        write(frame);
                    }
                });
    }

    /** Sends the answer to a statement, which faults can hold back or repeat. */
    void sendStatementAnswer(EndpointFrame frame) {
        if (releaseHeld == null && server.faults.takeCross()) {
            releaseHeld = () -> send(frame);
            Runnable mine = releaseHeld;
            Frames.after(
                    server.loop,
                    server.faults.crossHoldMicros(),
                    TimeUnit.MICROSECONDS,
                    () -> releaseIfHeld(mine));
            return;
        }
        send(frame);
        if (server.faults.takeDuplicate()) {
            send(frame);
        }
        if (releaseHeld != null) {
            releaseIfHeld(releaseHeld);
        }
    }

    private void releaseIfHeld(Runnable held) {
        if (releaseHeld == held) {
            releaseHeld = null;
            held.run();
        }
    }

    /** Writes a frame past all delays and faults; for the answers to fault switches. */
    void write(EndpointFrame frame) {
        if (!channel.isActive()) {
            return;
        }
        // A client that does not read must not make the server's buffers grow without bound.
        byte[] bytes = frame.toByteArray();
        if (!channel.isWritable()
                || server.settings.frameLimits().check(bytes.length).isDefined()) {
            Frames.close(channel);
            return;
        }
        Frames.write(channel, bytes);
    }

    void close() {
        Frames.close(channel);
    }

    /** Closes the connection when what was sent before has been passed on. */
    void closeAfterSending() {
        outbound.offer(
                server.delayMicros(),
                () -> {
                    if (!drops(Direction.OUTBOUND)) {
                        Frames.close(channel);
                    }
                });
    }

    private boolean drops(Direction direction) {
        if (silent) {
            return true;
        }
        if (server.faults.silenceAll() || server.faults.cutOff(peer, direction)) {
            lostFrame = true;
            return true;
        }
        if (lostFrame && !server.faults.cutOff(peer, Direction.INBOUND)) {
            silent = !server.faults.cutOff(peer, Direction.OUTBOUND);
        }
        return silent;
    }
}
