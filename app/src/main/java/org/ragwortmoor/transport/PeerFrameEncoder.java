package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes messages to peers and enforces the frame limit. */
final class PeerFrameEncoder {
    private static final Logger LOG = LoggerFactory.getLogger(PeerFrameEncoder.class);

    private final String self;
    private final TransportSettings settings;
    private final TransportMetrics metrics;

    PeerFrameEncoder(String self, TransportSettings settings, TransportMetrics metrics) {
        this.self = self;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Returns the encoded message, or none if it exceeds the frame limit. */
    Option<PeerQueue.Message> encode(String peer, PeerBody body) {
        ByteString frame = PeerCodec.encode(new PeerEnvelope(self, body)).toByteString();
        if (settings.frameLimits().check(frame.size()).isDefined()) {
            metrics.error(peer, "message_too_large");
            LOG.warn(
                    "dropped message to {}: {}",
                    peer,
                    settings.frameLimits().check(frame.size()).get());
            return Option.none();
        }
        return Option.some(new PeerQueue.Message(body.getClass(), body.heartbeat(), frame));
    }
}
