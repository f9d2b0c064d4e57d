package org.cornelcrank.partition;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.wire.CheckpointPointer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CheckpointTests {

    private static final PartitionId PARTITION = new PartitionId(TestFleet.REGION, 0);
    private static final long RETENTION_MS = 200_000;
    private static final int SMALL_GROUP_BYTES = 1024;
    private static final int RECORDS = 120;

    private final PartitionSettings settings =
            TestSettings.retention(new RetentionSettings(RETENTION_MS, 20_000, 1024 * 1024), SMALL_GROUP_BYTES);
    private final TestFleet fleet = new TestFleet(settings, 21);

    @Test
    void lateReaderReachesStateOfOwner() {
        TestFleet.Daemon first = ownerWithRecords();
        runForRetentions(3);
        Ledger expected = first.ledger(PARTITION);
        TestFleet.Daemon second = replaceOwner(first);
        assertThat(second.ledger(PARTITION).applied()).isEqualTo(expected.applied());
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(expected.entries());
        assertThat(fleet.log().read(PARTITION.stream(), 0, 1).oldestOffset()).isPositive();
    }

    @Test
    void neededRecordsStayReadableBeyondRetention() {
        TestFleet.Daemon owner = ownerWithRecords();
        runForRetentions(4);
        var positions = owner.ledger(PARTITION).entries();
        owner.runAndExecute(out ->
                owner.stateMachine().readBodies(PARTITION, LedgerClient.SLICE, positions.values(), fleet.nowMs(), out));
        fleet.runFor(10_000);
        assertThat(owner.client().bodies()).hasSize(1);
        var bodies = owner.client().bodies().get(0);
        assertThat(positions).hasSize(RECORDS);
        positions.forEach((text, position) ->
                assertThat(Ledger.textOf(bodies.get(position))).isEqualTo(text));
        assertThat(owner.counter("partition.needed-bodies-expired")).isZero();
    }

    @Test
    void danglingCheckpointPointerIsIgnored() {
        TestFleet.Daemon first = ownerWithRecords();
        runForRetentions(2);
        Ledger expected = first.ledger(PARTITION);
        for (int pointer = 0; pointer < 4; pointer++) {
            appendPointer(5 + pointer, 1_000_000, 1_000_001);
        }
        TestFleet.Daemon second = replaceOwner(first);
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(expected.entries());
        assertThat(second.counter("partition.checkpoints-unusable")).isPositive();
    }

    @Test
    void readerScansFromOldestRecordIfCheckpointExpired() {
        TestFleet.Daemon first = ownerWithRecords();
        runForRetentions(2);
        Ledger expected = first.ledger(PARTITION);
        CheckpointPointer oldest = CheckpointPointers.decode(fleet.log()
                        .records(PartitionStreamReader.pointerStream(PARTITION))
                        .get(0)
                        .payload())
                .orElseThrow();
        for (int pointer = 0; pointer < 4; pointer++) {
            appendPointer(oldest.getThroughOffset(), oldest.getFirstPartOffset(), oldest.getLastPartOffset());
        }
        TestFleet.Daemon second = replaceOwner(first);
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(expected.entries());
    }

    @Test
    void partitionWithExpiredRecordsIsReportedAndNotServed() {
        TestFleet.Daemon first = ownerWithRecords();
        first.crash(0);
        fleet.runFor(1_000);
        fleet.log().append(PARTITION.stream(), ByteString.copyFromUtf8("kept"), fleet.nowMs());
        fleet.log().expireBefore(fleet.nowMs());
        TestFleet.Daemon second = fleet.start("b");
        fleet.runFor(10_000);
        assertThat(second.stateMachine().owns(PARTITION)).isFalse();
        assertThat(second.counter("partition.needed-records-expired")).isPositive();
        assertThat(fleet.changes()).anyMatch(change -> change.contains("is not served"));
    }

    @Test
    void checkpointIsUnusableIfLaterRecordsExpired() {
        TestFleet.Daemon first = ownerWithRecords();
        fleet.runFor(60_000);
        List<LogRecord> parts = fleet.log().records(PARTITION.stream()).stream()
                .filter(record ->
                        GroupCodec.decode(record.payload()).orElseThrow().hasCheckpoint())
                .toList();
        assertThat(parts).isNotEmpty();
        first.propose(PARTITION, "after the checkpoint", true);
        fleet.runFor(1_000);
        first.crash(0);
        fleet.runFor(1);
        parts.forEach(part -> fleet.log().append(PARTITION.stream(), part.payload(), fleet.nowMs()));
        fleet.log().expireBefore(fleet.nowMs());
        TestFleet.Daemon second = fleet.start("b");
        fleet.runFor(10_000);
        assertThat(second.stateMachine().owns(PARTITION)).isFalse();
        assertThat(second.counter("partition.needed-records-expired")).isPositive();
    }

    @Test
    void ownerPausedBeyondRetentionLosesOwnershipAndReadsAgain() {
        TestFleet.Daemon paused = ownerWithRecords();
        paused.pause();
        TestFleet.Daemon other = fleet.start("b");
        fleet.announce(paused.host(), MemberState.DEAD);
        fleet.runFor(10_000);
        other.propose(PARTITION, "meanwhile", true);
        runForRetentions(2);
        paused.resume();
        fleet.runFor(10_000);
        assertThat(paused.stateMachine().owns(PARTITION)).isFalse();
        assertThat(other.ledger(PARTITION).entries()).hasSize(RECORDS + 1);
    }

    @Test
    void incompleteCheckpointOfCrashedWriterIsIgnored() {
        TestFleet.Daemon first = ownerWithRecords();
        runForRetentions(1);
        Ledger expected = first.ledger(PARTITION);
        int before = fleet.log().records(PARTITION.stream()).size();
        while (fleet.log().records(PARTITION.stream()).size() < before + 3) {
            fleet.runFor(1);
        }
        TestFleet.Daemon second = replaceOwner(first);
        assertThat(second.ledger(PARTITION).entries().keySet())
                .isEqualTo(expected.entries().keySet());
        assertThat(second.ledger(PARTITION).applied()).isEqualTo(expected.applied());
    }

    @Test
    void replayOfWholeStreamReachesStateOfOwner() {
        TestFleet.Daemon first = ownerWithRecords();
        fleet.runFor(60_000);
        assertThat(first.counter("partition.checkpoints-written")).isPositive();
        PartitionFold replayed = TestFolds.fold(settings, PARTITION);
        fleet.log()
                .records(PARTITION.stream())
                .forEach(record -> replayed.apply(
                        record.offset(),
                        record.appendedAtMs(),
                        GroupCodec.decode(record.payload()).orElseThrow(),
                        position -> {}));
        Ledger folded = (Ledger) replayed.state(LedgerClient.SLICE);
        assertThat(folded.entries()).isEqualTo(first.ledger(PARTITION).entries());
    }

    private TestFleet.Daemon ownerWithRecords() {
        TestFleet.Daemon owner = fleet.start("a");
        fleet.runFor(5_000);
        for (int record = 0; record < RECORDS; record++) {
            owner.propose(PARTITION, "visit " + record + "#" + "x".repeat(40), false);
        }
        fleet.runFor(15_000);
        assertThat(owner.ledger(PARTITION).entries()).hasSize(RECORDS);
        return owner;
    }

    private void runForRetentions(int retentions) {
        long endMs = fleet.nowMs() + retentions * RETENTION_MS;
        while (fleet.nowMs() < endMs) {
            fleet.runFor(5_000);
            fleet.log().expireBefore(fleet.nowMs() - RETENTION_MS);
        }
    }

    private TestFleet.Daemon replaceOwner(TestFleet.Daemon first) {
        first.crash(0);
        TestFleet.Daemon second = fleet.start("b");
        fleet.runFor(10_000);
        assertThat(List.of(fleet.owner(PARTITION))).containsExactly(second);
        return second;
    }

    private void appendPointer(long throughOffset, long firstPartOffset, long lastPartOffset) {
        CheckpointPointer pointer = CheckpointPointer.newBuilder()
                .setThroughOffset(throughOffset)
                .setFirstPartOffset(firstPartOffset)
                .setLastPartOffset(lastPartOffset)
                .build();
        fleet.log().append(PartitionStreamReader.pointerStream(PARTITION), pointer.toByteString(), fleet.nowMs());
    }
}
