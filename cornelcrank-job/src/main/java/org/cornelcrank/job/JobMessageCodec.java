package org.cornelcrank.job;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.job.wire.WireAnswer;
import org.cornelcrank.job.wire.WireAsk;
import org.cornelcrank.job.wire.WireJobMessage;
import org.cornelcrank.job.wire.WireKeyedRecord;
import org.cornelcrank.job.wire.WireListed;
import org.cornelcrank.job.wire.WireWrite;
import org.cornelcrank.job.wire.WireWriteOutcome;
import org.cornelcrank.job.wire.WireWritten;

/**
 * Encodes and decodes {@link JobMessage}s.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class JobMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return JobStateMachine.NAME;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof JobMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        WireJobMessage.Builder wire = WireJobMessage.newBuilder();
        if (message instanceof JobMessage.ReadRequest request) {
            wire.setAsk(WireAsk.newBuilder()
                    .setNumber(request.id().number())
                    .setIncarnation(request.id().incarnation())
                    .setJob(request.job().value())
                    .setAfter(request.fromPosition())
                    .setWaitMs(request.waitMs())
                    .setBodyOf(request.bodyOfItem().orElse("")));
        } else if (message instanceof JobMessage.ReadReply reply) {
            wire.setAnswer(encode(reply));
        } else if (message instanceof JobMessage.WriteRequest request) {
            wire.setWrite(encode(request));
        } else if (message instanceof JobMessage.WriteReply reply) {
            wire.setWritten(WireWritten.newBuilder()
                    .setNumber(reply.id().number())
                    .setIncarnation(reply.id().incarnation())
                    .setOutcome(encode(reply.outcome())));
        }
        return wire.build().toByteString();
    }

    private static WireAnswer encode(JobMessage.ReadReply reply) {
        WireAnswer.Builder wire = WireAnswer.newBuilder()
                .setNumber(reply.id().number())
                .setIncarnation(reply.id().incarnation())
                .setOwner(reply.owner())
                .setKnown(reply.known())
                .setTotal(reply.totalItems())
                .setHasBody(reply.body().isPresent())
                .setBody(reply.body().orElse(ByteString.EMPTY));
        for (ListedResult result : reply.results()) {
            wire.addResults(WireListed.newBuilder()
                    .setItemId(result.itemId())
                    .setCompleted(result.completed())
                    .setText(result.text()));
        }
        return wire.build();
    }

    private static WireWrite encode(JobMessage.WriteRequest request) {
        WireWrite.Builder wire = WireWrite.newBuilder()
                .setNumber(request.id().number())
                .setIncarnation(request.id().incarnation())
                .setJob(request.job().value());
        for (KeyedRecord record : request.records()) {
            wire.addRecords(WireKeyedRecord.newBuilder().setKey(record.key()).setValue(record.value()));
        }
        return wire.build();
    }

    private static WireWriteOutcome encode(WriteOutcome outcome) {
        return switch (outcome) {
            case DONE -> WireWriteOutcome.WRITE_DONE;
            case NOT_DONE -> WireWriteOutcome.WRITE_NOT_DONE;
            case UNKNOWN -> WireWriteOutcome.WRITE_UNKNOWN;
        };
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        WireJobMessage wire = WireJobMessage.parseFrom(payload);
        return switch (wire.getKindCase()) {
            case ASK -> decode(wire.getAsk());
            case ANSWER -> decode(wire.getAnswer());
            case WRITE -> decode(wire.getWrite());
            case WRITTEN -> new JobMessage.WriteReply(
                    new CorrelationId(
                            wire.getWritten().getIncarnation(),
                            wire.getWritten().getNumber()),
                    decode(wire.getWritten().getOutcome()));
            case KIND_NOT_SET -> throw new InvalidProtocolBufferException(
                    "a job message must be of a known kind but none was set");
        };
    }

    private static JobMessage decode(WireAsk request) throws InvalidProtocolBufferException {
        try {
            return new JobMessage.ReadRequest(
                    new CorrelationId(request.getIncarnation(), request.getNumber()),
                    new JobId(request.getJob()),
                    request.getAfter(),
                    request.getWaitMs(),
                    Optional.of(request.getBodyOf()).filter(id -> !id.isEmpty()));
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }

    private static JobMessage decode(WireWrite request) throws InvalidProtocolBufferException {
        try {
            return new JobMessage.WriteRequest(
                    new CorrelationId(request.getIncarnation(), request.getNumber()),
                    new JobId(request.getJob()),
                    request.getRecordsList().stream()
                            .map(record -> new KeyedRecord(record.getKey(), record.getValue()))
                            .toList());
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }

    private static WriteOutcome decode(WireWriteOutcome outcome) {
        return switch (outcome) {
            case WRITE_DONE -> WriteOutcome.DONE;
            case WRITE_NOT_DONE -> WriteOutcome.NOT_DONE;
            default -> WriteOutcome.UNKNOWN;
        };
    }

    private static JobMessage decode(WireAnswer reply) {
        return new JobMessage.ReadReply(
                new CorrelationId(reply.getIncarnation(), reply.getNumber()),
                reply.getOwner() || reply.getKnown(),
                reply.getKnown(),
                reply.getTotal(),
                reply.getResultsList().stream()
                        .map(result -> new ListedResult(result.getItemId(), result.getCompleted(), result.getText()))
                        .toList(),
                reply.getHasBody() ? Optional.of(reply.getBody()) : Optional.empty());
    }
}
