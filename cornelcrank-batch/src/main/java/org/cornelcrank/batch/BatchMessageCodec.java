package org.cornelcrank.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.batch.wire.BatchEnvelope;
import org.cornelcrank.batch.wire.CommandAnsweredMessage;
import org.cornelcrank.batch.wire.CommandDeclinedMessage;
import org.cornelcrank.batch.wire.CommandForwardedMessage;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TeamPath;

/**
 * Encodes and decodes {@link BatchMessage}s with protobuf.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class BatchMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return BatchRecords.SLICE;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof BatchMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        if (!(message instanceof BatchMessage batch)) {
            throw new IllegalArgumentException("message must be a batch message but was " + message.getClass());
        }
        BatchEnvelope.Builder envelope = BatchEnvelope.newBuilder();
        if (batch instanceof BatchMessage.Forwarded forwarded) {
            envelope.setForwarded(encodeForwarded(forwarded.command()));
        } else if (batch instanceof BatchMessage.Replied replied) {
            envelope.setAnswered(CommandAnsweredMessage.newBuilder()
                    .setRequest(replied.request().toString())
                    .setLeg(replied.leg())
                    .setSend(replied.sendNumber())
                    .setReply(ReplyCodec.encode(replied.reply())));
        } else if (batch instanceof BatchMessage.Declined declined) {
            envelope.setDeclined(CommandDeclinedMessage.newBuilder()
                    .setRequest(declined.request().toString())
                    .setLeg(declined.leg())
                    .setSend(declined.sendNumber())
                    .setUntouched(declined.untouched()));
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        BatchEnvelope envelope = BatchEnvelope.parseFrom(payload);
        try {
            return decode(envelope);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }

    private static BatchMessage decode(BatchEnvelope envelope) {
        return switch (envelope.getMessageCase()) {
            case FORWARDED -> new BatchMessage.Forwarded(decodeForwarded(envelope.getForwarded()));
            case ANSWERED -> {
                CommandAnsweredMessage answered = envelope.getAnswered();
                yield new BatchMessage.Replied(
                        RequestId.parse(answered.getRequest()),
                        answered.getLeg(),
                        answered.getSend(),
                        ReplyCodec.decode(answered.getReply()));
            }
            case DECLINED -> {
                CommandDeclinedMessage declined = envelope.getDeclined();
                yield new BatchMessage.Declined(
                        RequestId.parse(declined.getRequest()),
                        declined.getLeg(),
                        declined.getSend(),
                        declined.getUntouched());
            }
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException(
                    "batch message must have a body of a known type");
        };
    }

    private static CommandForwardedMessage encodeForwarded(ForwardedCommand command) {
        return CommandForwardedMessage.newBuilder()
                .setRequest(command.request().toString())
                .setLeg(command.leg())
                .setSend(command.sendNumber())
                .setPartition(command.partition().toString())
                .setDeadlineAtMs(command.deadlineAtMs())
                .setTeam(command.caller().team().value())
                .setKeyId(command.caller().keyId())
                .setOperator(command.caller().scope() == Caller.Scope.OPERATOR)
                .setCommand(CommandCodec.encode(command.command()))
                .build();
    }

    private static ForwardedCommand decodeForwarded(CommandForwardedMessage message) {
        Caller.Scope scope = message.getOperator() ? Caller.Scope.OPERATOR : Caller.Scope.CALLER;
        return new ForwardedCommand(
                RequestId.parse(message.getRequest()),
                message.getLeg(),
                message.getSend(),
                new Caller(new TeamPath(message.getTeam()), message.getKeyId(), scope),
                PartitionId.parse(message.getPartition()),
                CommandCodec.decode(message.getCommand()),
                message.getDeadlineAtMs());
    }
}
