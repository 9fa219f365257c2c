package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import org.ragwortmoor.coordination.consensus.ConsensusAction;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.transport.PeerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends the messages of the replicated log to its members, and logs changes of leadership. */
final class DirectoryLogEvents implements DirectoryLog.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryLogEvents.class);

    private final PeerClient peers;
    private final MemberAddresses addresses;
    private final AppliedListener appliedListener;

    /** Receives the commands that have been applied. */
    interface AppliedListener {
        /** Handles a command with its log index. */
        void applied(DirectoryCommand command, long index);
    }

    DirectoryLogEvents(
            PeerClient peers, MemberAddresses addresses, AppliedListener appliedListener) {
        this.peers = peers;
        this.addresses = addresses;
        this.appliedListener = appliedListener;
    }

    @Override
    public void send(ConsensusAction.Send send) {
        byte[] bytes = ConsensusCodec.encode(send.message()).toByteArray();
        peers.send(
                addresses.of(send.message().to().node()),
                new PeerBody.Consensus(ByteString.copyFrom(bytes)));
    }

    @Override
    public void elected(long term) {
        LOG.info("event=elected term={}", term);
    }

    @Override
    public void deposed(String reason) {
        LOG.info("event=deposed reason=\"{}\"", reason);
    }

    @Override
    public void applied(DirectoryCommand command, long index) {
        appliedListener.applied(command, index);
    }
}
