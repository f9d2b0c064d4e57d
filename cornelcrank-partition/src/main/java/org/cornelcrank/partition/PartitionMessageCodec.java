package org.cornelcrank.partition;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.partition.wire.Empty;
import org.cornelcrank.partition.wire.PartitionEnvelope;

/**
 * Encodes and decodes {@link PartitionMessage}s with protobuf.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class PartitionMessageCodec implements PeerMessageCodec {

    private static final Empty EMPTY = Empty.getDefaultInstance();

    @Override
    public String slice() {
        return PartitionContext.SLICE;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof PartitionMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        PartitionMessage partitionMessage = (PartitionMessage) message;
        PartitionEnvelope.Builder envelope = PartitionEnvelope.newBuilder()
                .setPartition(partitionMessage.partition().toString())
                .setEpoch(partitionMessage.epoch());
        if (message instanceof PartitionMessage.OwnershipQuery) {
            envelope.setOwnershipQuery(EMPTY);
        } else if (message instanceof PartitionMessage.OwnershipReply reply) {
            envelope.getOwnershipAnswerBuilder().setOwns(reply.owns());
        } else if (message instanceof PartitionMessage.HandoverOffer) {
            envelope.setHandOverOffer(EMPTY);
        } else if (message instanceof PartitionMessage.HandoverReady) {
            envelope.setHandOverReady(EMPTY);
        } else if (message instanceof PartitionMessage.OwnershipReleased) {
            envelope.setReleased(EMPTY);
        } else {
            envelope.setTakeOverRequest(EMPTY);
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        PartitionEnvelope envelope = PartitionEnvelope.parseFrom(payload);
        PartitionId partition = parsePartition(envelope.getPartition());
        long epoch = envelope.getEpoch();
        return switch (envelope.getMessageCase()) {
            case OWNERSHIP_QUERY -> new PartitionMessage.OwnershipQuery(partition, epoch);
            case OWNERSHIP_ANSWER -> new PartitionMessage.OwnershipReply(
                    partition, epoch, envelope.getOwnershipAnswer().getOwns());
            case HAND_OVER_OFFER -> new PartitionMessage.HandoverOffer(partition, epoch);
            case HAND_OVER_READY -> new PartitionMessage.HandoverReady(partition, epoch);
            case RELEASED -> new PartitionMessage.OwnershipReleased(partition, epoch);
            case TAKE_OVER_REQUEST -> new PartitionMessage.ClaimRequest(partition, epoch);
            default -> throw new InvalidProtocolBufferException("partition message must have a body of a known type");
        };
    }

    private static PartitionId parsePartition(String text) throws InvalidProtocolBufferException {
        try {
            return PartitionId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }
}
