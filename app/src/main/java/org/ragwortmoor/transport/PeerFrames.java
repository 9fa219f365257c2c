package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes the messages of one process. */
final class PeerFrames {
    private static final Logger LOG = LoggerFactory.getLogger(PeerFrames.class);

    private final String self;
    private final TransportSettings settings;
    private final TransportMetrics metrics;

    PeerFrames(String self, TransportSettings settings, TransportMetrics metrics) {
        this.self = self;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Returns the encoded message, or nothing if it exceeds the frame limit. */
    Option<PeerQueue.Message> encode(String peer, PeerBody body) {
        ByteString frame = PeerCodec.encode(new PeerEnvelope(self, body)).toByteString();
        if (settings.frameLimits().check(frame.size()).isDefined()) {
            metrics.error(peer, "message_too_large");
            LOG.warn(
                    "message to {} dropped: {}",
                    peer,
                    settings.frameLimits().check(frame.size()).get());
            return Option.none();
        }
        return Option.some(new PeerQueue.Message(body.getClass(), body.heartbeat(), frame));
    }
}
