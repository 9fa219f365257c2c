package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import org.ragwortmoor.state.wire.ConfigurationRecord;
import org.ragwortmoor.state.wire.EntryKindRecord;
import org.ragwortmoor.state.wire.EntryRecord;
import org.ragwortmoor.state.wire.MemberIdRecord;
import org.ragwortmoor.state.wire.MemberRecord;
import org.ragwortmoor.state.wire.VoteRecord;

/** Converts the types of this package to and from protobuf. */
public final class StorageCodec {
    private StorageCodec() {}

    /** Encodes an identity. */
    public static MemberIdRecord encode(MemberId id) {
        return MemberIdRecord.newBuilder()
                .setNode(id.node())
                .setIncarnation(id.incarnation())
                .build();
    }

    /** Decodes an identity. */
    public static MemberId decode(MemberIdRecord record) {
        return new MemberId(record.getNode(), record.getIncarnation());
    }

    /** Encodes a configuration. */
    public static ConfigurationRecord encode(Configuration configuration) {
        ConfigurationRecord.Builder builder = ConfigurationRecord.newBuilder();
        for (Member member : configuration.members()) {
            builder.addMembers(
                    MemberRecord.newBuilder()
                            .setId(encode(member.id()))
                            .setAddress(member.address())
                            .setVoter(member.voter()));
        }
        return builder.build();
    }

    /** Decodes a configuration. */
    public static Configuration decode(ConfigurationRecord record) {
        return new Configuration(
                record.getMembersList().stream()
                        .map(m -> new Member(decode(m.getId()), m.getAddress(), m.getVoter()))
                        .toList());
    }

    /**
     * Decodes the payload of an entry of kind {@link EntryKind#CONFIGURATION}.
     *
     * @throws IllegalStateException if the payload is not a configuration, which can only be caused
     *     by a bug in the leader that wrote it
     */
    public static Configuration configurationOf(LogEntry entry) {
        try {
            return decode(ConfigurationRecord.parseFrom(entry.payload()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not contain a configuration", e);
        }
    }

    /** Encodes an entry. */
    public static EntryRecord encode(LogEntry entry) {
        return EntryRecord.newBuilder()
                .setTerm(entry.term())
                .setIndex(entry.index())
                .setKind(
                        switch (entry.kind()) {
                            case NOOP -> EntryKindRecord.ENTRY_KIND_NOOP;
                            case COMMAND -> EntryKindRecord.ENTRY_KIND_COMMAND;
                            case CONFIGURATION -> EntryKindRecord.ENTRY_KIND_CONFIGURATION;
                        })
                .setPayload(entry.payload())
                .build();
    }

    /**
     * Decodes an entry.
     *
     * @throws InvalidProtocolBufferException if the kind is unknown to this version
     */
    public static LogEntry decode(EntryRecord record) throws InvalidProtocolBufferException {
        EntryKind kind =
                switch (record.getKind()) {
                    case ENTRY_KIND_NOOP -> EntryKind.NOOP;
                    case ENTRY_KIND_COMMAND -> EntryKind.COMMAND;
                    case ENTRY_KIND_CONFIGURATION -> EntryKind.CONFIGURATION;
                    case ENTRY_KIND_UNSPECIFIED, UNRECOGNIZED ->
                            throw new InvalidProtocolBufferException("unknown entry kind");
                };
        return new LogEntry(record.getTerm(), record.getIndex(), kind, record.getPayload());
    }

    static VoteRecord encode(Vote vote) {
        VoteRecord.Builder builder = VoteRecord.newBuilder().setTerm(vote.term());
        vote.candidate().forEach(candidate -> builder.setCandidate(encode(candidate)));
        return builder.build();
    }

    static Vote decode(VoteRecord record) {
        Option<MemberId> candidate =
                record.hasCandidate() ? Option.some(decode(record.getCandidate())) : Option.none();
        return new Vote(record.getTerm(), candidate);
    }

    static LogEntry decodeEntry(ByteString payload) throws InvalidProtocolBufferException {
        return decode(EntryRecord.parseFrom(payload));
    }
}
