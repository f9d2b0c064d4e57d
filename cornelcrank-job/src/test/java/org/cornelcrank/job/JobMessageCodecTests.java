package org.cornelcrank.job;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JobMessageCodecTests {

    private static final JobId JOB = new JobId("job-1");

    private final JobMessageCodec codec = new JobMessageCodec();

    @Test
    void readRequestsAndRepliesRoundTrip() throws InvalidProtocolBufferException {
        assertRoundTrip(new JobMessage.ReadRequest(id(7), JOB, 3, 1_000, Optional.empty()));
        assertRoundTrip(new JobMessage.ReadRequest(id(8), JOB, 0, 0, Optional.of("item-2")));
        assertRoundTrip(new JobMessage.ReadReply(
                id(7), true, true, 12, List.of(new ListedResult("item-1", true, text("text"))), Optional.empty()));
        assertRoundTrip(new JobMessage.ReadReply(id(8), true, true, 12, List.of(), Optional.of(ByteString.EMPTY)));
        assertRoundTrip(JobMessage.ReadReply.notOwner(id(9)));
        assertRoundTrip(JobMessage.ReadReply.unknownJob(id(10)));
    }

    @Test
    void writeRequestsRoundTrip() throws InvalidProtocolBufferException {
        KeyedRecord part = new KeyedRecord(JobRecords.partKey(JOB, 0), text("part"));
        assertRoundTrip(
                new JobMessage.WriteRequest(id(10), JOB, List.of(part, KeyedRecord.tombstone(JobRecords.endKey(JOB)))));
    }

    @ParameterizedTest
    @EnumSource
    void writeOutcomesRoundTrip(WriteOutcome outcome) throws InvalidProtocolBufferException {
        assertRoundTrip(new JobMessage.WriteReply(id(11), outcome));
    }

    @Test
    void payloadWithoutAMessageIsRejected() {
        assertThatThrownBy(() -> codec.decode(ByteString.EMPTY)).isInstanceOf(InvalidProtocolBufferException.class);
    }

    private void assertRoundTrip(JobMessage message) throws InvalidProtocolBufferException {
        assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
    }

    private static CorrelationId id(long number) {
        return new CorrelationId(1_796_347_791_622L, number);
    }

    private static ByteString text(String text) {
        return ByteString.copyFromUtf8(text);
    }
}
