package org.ragwortmoor.standin;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.protocol.wire.EndpointFrame;

/**
 * Switches faults of a stand-in in another process. Each switch uses a connection of its own and
 * blocks until it is in effect; fault switches pass all faults.
 */
public final class StandinControl {
    private static final int TIMEOUT_MILLIS = 2_000;

    private final String host;
    private final int port;

    /**
     * Creates the control of the stand-in at an address.
     *
     * @param address IP number and port
     * @throws IllegalArgumentException if the address has no such form
     */
    public StandinControl(String address) {
        if (!Frames.valid(address)) {
            throw new IllegalArgumentException("not an IP number and port: " + address);
        }
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
    }

    /** Switches a fault; returns the reason if the stand-in could not be reached or refused. */
    public Option<String> apply(FaultSwitch fault) {
        EndpointFrame call =
                EndpointFrame.newBuilder()
                        .setExchange(1)
                        .setFaultSwitch(FaultCodec.encode(fault))
                        .build();
        return exchange(call).fold(Option::some, StandinControl::error);
    }

    private static Option<String> error(EndpointFrame answer) {
        if (!answer.hasFaultSwitched()) {
            return Option.some("the answer is no answer to a fault switch");
        }
        return Option.of(answer.getFaultSwitched().getError()).filter(error -> !error.isEmpty());
    }

    private Either<String, EndpointFrame> exchange(EndpointFrame call) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.connect(
                    new InetSocketAddress(InetAddress.getByName(host), port), TIMEOUT_MILLIS);
            byte[] bytes = call.toByteArray();
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(bytes.length);
            output.write(bytes);
            output.flush();
            DataInputStream input = new DataInputStream(socket.getInputStream());
            int length = input.readInt();
            if (FrameLimits.DEFAULT.check(length).isDefined()) {
                return Either.left(FrameLimits.DEFAULT.check(length).get().toString());
            }
            byte[] answer = input.readNBytes(length);
            return EndpointCodec.parse(ByteBuffer.wrap(answer)).mapLeft(Object::toString);
        } catch (IOException e) {
            return Either.left("no answer from " + host + ":" + port + ": " + e);
        }
    }
}
