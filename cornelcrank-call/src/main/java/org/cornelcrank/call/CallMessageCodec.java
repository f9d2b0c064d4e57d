package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.call.wire.CallAnswerValue;
import org.cornelcrank.call.wire.CallAnsweredMessage;
import org.cornelcrank.call.wire.CallDeclinedMessage;
import org.cornelcrank.call.wire.CallEnvelope;
import org.cornelcrank.call.wire.CallForwardedMessage;
import org.cornelcrank.call.wire.CallHeldMessage;
import org.cornelcrank.call.wire.CallRefusalValue;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;

/**
 * Encodes and decodes {@link CallMessage}s with protobuf.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class CallMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return CallRecords.SLICE;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof CallMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        if (!(message instanceof CallMessage call)) {
            throw new IllegalArgumentException("message must be a call message but was " + message.getClass());
        }
        CallEnvelope.Builder envelope = CallEnvelope.newBuilder();
        if (call instanceof CallMessage.Forwarded forwarded) {
            envelope.setForwarded(encodeForwarded(forwarded.command()));
        } else if (call instanceof CallMessage.Replied replied) {
            envelope.setAnswered(encodeReplied(replied));
        } else if (call instanceof CallMessage.Held held) {
            envelope.setHeld(CallHeldMessage.newBuilder()
                    .setRequest(held.request().toString())
                    .setSend(held.sendNumber()));
        } else if (call instanceof CallMessage.Declined declined) {
            envelope.setDeclined(CallDeclinedMessage.newBuilder()
                    .setRequest(declined.request().toString())
                    .setSend(declined.sendNumber())
                    .setUntouched(declined.untouched()));
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        CallEnvelope envelope = CallEnvelope.parseFrom(payload);
        try {
            return switch (envelope.getMessageCase()) {
                case FORWARDED -> new CallMessage.Forwarded(decodeForwarded(envelope.getForwarded()));
                case ANSWERED -> decodeReplied(envelope.getAnswered());
                case DECLINED -> new CallMessage.Declined(
                        RequestId.parse(envelope.getDeclined().getRequest()),
                        envelope.getDeclined().getSend(),
                        envelope.getDeclined().getUntouched());
                case HELD -> new CallMessage.Held(
                        RequestId.parse(envelope.getHeld().getRequest()),
                        envelope.getHeld().getSend());
                case MESSAGE_NOT_SET -> throw new InvalidProtocolBufferException(
                        "call message must have a body of a known type");
            };
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }

    private static CallForwardedMessage encodeForwarded(ForwardedCommand command) {
        CallRequest call = (CallRequest) command.command();
        return CallForwardedMessage.newBuilder()
                .setRequest(command.request().toString())
                .setSend(command.sendNumber())
                .setPartition(command.partition().toString())
                .setAnswerUntilMs(command.deadlineAtMs())
                .setTeam(command.caller().team().value())
                .setKeyId(command.caller().keyId())
                .setOperator(command.caller().scope() == Caller.Scope.OPERATOR)
                .setWorkload(call.workload().value())
                .setService(call.service().value())
                .setMethod(call.method())
                .setPath(call.path())
                .setContentType(call.contentType())
                .setBody(call.body())
                .setIdempotencyKey(call.idempotencyKey().orElseThrow())
                .setDeadlineAtMs(call.deadlineAtMs())
                .setUrgency(call.urgency().name())
                .build();
    }

    private static ForwardedCommand decodeForwarded(CallForwardedMessage message) {
        CallRequest call = new CallRequest(
                new TeamPath(message.getWorkload()),
                new ServiceName(message.getService()),
                message.getMethod(),
                message.getPath(),
                message.getContentType(),
                message.getBody(),
                Optional.of(message.getIdempotencyKey()),
                message.getDeadlineAtMs(),
                Urgency.valueOf(message.getUrgency()));
        Caller.Scope scope = message.getOperator() ? Caller.Scope.OPERATOR : Caller.Scope.CALLER;
        return new ForwardedCommand(
                RequestId.parse(message.getRequest()),
                0,
                message.getSend(),
                new Caller(new TeamPath(message.getTeam()), message.getKeyId(), scope),
                PartitionId.parse(message.getPartition()),
                call,
                message.getAnswerUntilMs());
    }

    private static CallAnsweredMessage encodeReplied(CallMessage.Replied replied) {
        CallAnsweredMessage.Builder message = CallAnsweredMessage.newBuilder()
                .setRequest(replied.request().toString())
                .setSend(replied.sendNumber());
        if (replied.reply() instanceof CallResponse response) {
            message.setAnswer(CallAnswerValue.newBuilder()
                    .setStatus(response.status())
                    .setContentType(response.contentType())
                    .setBody(response.body())
                    .setReplayed(response.replayed())
                    .setIdempotencyKey(response.idempotencyKey()));
        } else if (replied.reply() instanceof Refusal refusal) {
            message.setRefusal(CallRefusalValue.newBuilder()
                    .setVerdict(refusal.verdict().headerValue())
                    .setCode(refusal.code().name())
                    .setMessage(refusal.message())
                    .setRetryAfterMs(refusal.retryAfterMs()));
        }
        return message.build();
    }

    private static CallMessage.Replied decodeReplied(CallAnsweredMessage message)
            throws InvalidProtocolBufferException {
        RequestId request = RequestId.parse(message.getRequest());
        CallerReply reply =
                switch (message.getReplyCase()) {
                    case ANSWER -> decodeResponse(message.getAnswer());
                    case REFUSAL -> decodeRefusal(message.getRefusal());
                    case REPLY_NOT_SET -> throw new InvalidProtocolBufferException(
                            "reply to a call must be of a known type");
                };
        return new CallMessage.Replied(request, message.getSend(), reply);
    }

    private static CallResponse decodeResponse(CallAnswerValue value) {
        return new CallResponse(
                value.getStatus(),
                value.getContentType(),
                value.getBody(),
                value.getReplayed(),
                value.getIdempotencyKey());
    }

    private static Refusal decodeRefusal(CallRefusalValue value) {
        return new Refusal(
                Verdict.ofHeaderValue(value.getVerdict()),
                RefusalCode.valueOf(value.getCode()),
                value.getMessage(),
                value.getRetryAfterMs());
    }
}
