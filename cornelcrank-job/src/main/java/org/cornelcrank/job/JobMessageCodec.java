package org.cornelcrank.job;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
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
 * Encodes the messages about jobs.
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
        if (message instanceof JobMessage.ReadRequest ask) {
            wire.setAsk(WireAsk.newBuilder()
                    .setNumber(ask.number())
                    .setJob(ask.job().value())
                    .setAfter(ask.fromPosition())
                    .setWaitMs(ask.waitMs())
                    .setBodyOf(ask.bodyOf().orElse("")));
        } else if (message instanceof JobMessage.ReadReply answer) {
            wire.setAnswer(encode(answer));
        } else if (message instanceof JobMessage.WriteRequest write) {
            wire.setWrite(encode(write));
        } else if (message instanceof JobMessage.WriteReply written) {
            wire.setWritten(WireWritten.newBuilder().setNumber(written.number()).setOutcome(encode(written.outcome())));
        }
        return wire.build().toByteString();
    }

    private static WireAnswer encode(JobMessage.ReadReply answer) {
        WireAnswer.Builder wire = WireAnswer.newBuilder()
                .setNumber(answer.number())
                .setKnown(answer.known())
                .setTotal(answer.totalItems())
                .setHasBody(answer.body().isPresent())
                .setBody(answer.body().orElse(ByteString.EMPTY));
        for (ListedResult result : answer.results()) {
            wire.addResults(WireListed.newBuilder()
                    .setItemId(result.itemId())
                    .setCompleted(result.completed())
                    .setText(result.text()));
        }
        return wire.build();
    }

    private static WireWrite encode(JobMessage.WriteRequest write) {
        WireWrite.Builder wire = WireWrite.newBuilder()
                .setNumber(write.number())
                .setJob(write.job().value());
        for (KeyedRecord record : write.records()) {
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
                    wire.getWritten().getNumber(), decode(wire.getWritten().getOutcome()));
            case KIND_NOT_SET -> throw new InvalidProtocolBufferException("a message about jobs must have a kind");
        };
    }

    private static JobMessage decode(WireAsk ask) throws InvalidProtocolBufferException {
        try {
            return new JobMessage.ReadRequest(
                    ask.getNumber(),
                    new JobId(ask.getJob()),
                    ask.getAfter(),
                    ask.getWaitMs(),
                    Optional.of(ask.getBodyOf()).filter(id -> !id.isEmpty()));
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(e.getMessage());
        }
    }

    private static JobMessage decode(WireWrite write) throws InvalidProtocolBufferException {
        try {
            return new JobMessage.WriteRequest(
                    write.getNumber(),
                    new JobId(write.getJob()),
                    write.getRecordsList().stream()
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

    private static JobMessage decode(WireAnswer answer) {
        return new JobMessage.ReadReply(
                answer.getNumber(),
                answer.getKnown(),
                answer.getTotal(),
                answer.getResultsList().stream()
                        .map(result -> new ListedResult(result.getItemId(), result.getCompleted(), result.getText()))
                        .toList(),
                answer.getHasBody() ? Optional.of(answer.getBody()) : Optional.empty());
    }
}
