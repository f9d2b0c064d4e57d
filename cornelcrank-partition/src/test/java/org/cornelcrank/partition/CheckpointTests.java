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
    void aReaderThatStartsLateHasAllThatTookEffect() {
        TestFleet.Daemon first = ownerWithRecords();
        liveThroughRetentions(3);
        Ledger known = first.ledger(PARTITION);
        TestFleet.Daemon second = succeed(first);
        assertThat(second.ledger(PARTITION).applied()).isEqualTo(known.applied());
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(known.entries());
        assertThat(fleet.log().read(PARTITION.stream(), 0, 1).oldestOffset()).isPositive();
    }

    @Test
    void neededRecordsStayReadableBeyondTheRetention() {
        TestFleet.Daemon owner = ownerWithRecords();
        liveThroughRetentions(4);
        var positions = owner.ledger(PARTITION).entries();
        owner.act(
                out -> owner.duty().readBodies(PARTITION, LedgerClient.SLICE, positions.values(), fleet.nowMs(), out));
        fleet.runFor(10_000);
        assertThat(owner.client().bodies()).hasSize(1);
        var bodies = owner.client().bodies().get(0);
        assertThat(positions).hasSize(RECORDS);
        positions.forEach((text, position) ->
                assertThat(Ledger.textOf(bodies.get(position))).isEqualTo(text));
        assertThat(owner.counter("partition.needed-bodies-expired")).isZero();
    }

    @Test
    void aPointerToNothingIsOnlyAHint() {
        TestFleet.Daemon first = ownerWithRecords();
        liveThroughRetentions(2);
        Ledger known = first.ledger(PARTITION);
        for (int pointer = 0; pointer < 4; pointer++) {
            appendPointer(5 + pointer, 1_000_000, 1_000_001);
        }
        TestFleet.Daemon second = succeed(first);
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(known.entries());
        assertThat(second.counter("partition.checkpoints-unusable")).isPositive();
    }

    @Test
    void anExpiredCheckpointSendsTheReaderToTheOldestRecord() {
        TestFleet.Daemon first = ownerWithRecords();
        liveThroughRetentions(2);
        Ledger known = first.ledger(PARTITION);
        CheckpointPointer oldest = CheckpointPointers.decode(fleet.log()
                        .records(PartitionStreamReader.pointerStream(PARTITION))
                        .get(0)
                        .payload())
                .orElseThrow();
        for (int pointer = 0; pointer < 4; pointer++) {
            appendPointer(oldest.getThroughOffset(), oldest.getFirstPartOffset(), oldest.getLastPartOffset());
        }
        TestFleet.Daemon second = succeed(first);
        assertThat(second.ledger(PARTITION).entries()).isEqualTo(known.entries());
    }

    @Test
    void lostRecordsAreReportedAndNotServedAsIfNothingWasMissing() {
        TestFleet.Daemon first = ownerWithRecords();
        first.crash(0);
        fleet.runFor(1_000);
        fleet.log().append(PARTITION.stream(), ByteString.copyFromUtf8("kept"), fleet.nowMs());
        fleet.log().expireBefore(fleet.nowMs());
        TestFleet.Daemon second = fleet.start("b");
        fleet.runFor(10_000);
        assertThat(second.duty().owns(PARTITION)).isFalse();
        assertThat(second.counter("partition.needed-records-expired")).isPositive();
        assertThat(fleet.changes()).anyMatch(change -> change.contains("is not served"));
    }

    @Test
    void aCheckpointWhoseFollowingRecordsExpiredIsNotServed() {
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
        assertThat(second.duty().owns(PARTITION)).isFalse();
        assertThat(second.counter("partition.needed-records-expired")).isPositive();
    }

    @Test
    void anOwnerPausedBeyondTheRetentionGivesUpAndReadsAnew() {
        TestFleet.Daemon paused = ownerWithRecords();
        paused.pause();
        TestFleet.Daemon other = fleet.start("b");
        fleet.announce(paused.host(), MemberState.DEAD);
        fleet.runFor(10_000);
        other.propose(PARTITION, "meanwhile", true);
        liveThroughRetentions(2);
        paused.resume();
        fleet.runFor(10_000);
        assertThat(paused.duty().owns(PARTITION)).isFalse();
        assertThat(other.ledger(PARTITION).entries()).hasSize(RECORDS + 1);
    }

    @Test
    void aCheckpointCutShortByTheLossOfItsWriterIsPassedOver() {
        TestFleet.Daemon first = ownerWithRecords();
        liveThroughRetentions(1);
        Ledger known = first.ledger(PARTITION);
        int before = fleet.log().records(PARTITION.stream()).size();
        while (fleet.log().records(PARTITION.stream()).size() < before + 3) {
            fleet.runFor(1);
        }
        TestFleet.Daemon second = succeed(first);
        assertThat(second.ledger(PARTITION).entries().keySet())
                .isEqualTo(known.entries().keySet());
        assertThat(second.ledger(PARTITION).applied()).isEqualTo(known.applied());
    }

    @Test
    void reachesTheSameStateThroughCheckpointsAndByReadingAll() {
        TestFleet.Daemon first = ownerWithRecords();
        fleet.runFor(60_000);
        assertThat(first.counter("partition.checkpoints-written")).isPositive();
        PartitionFold whole = TestFolds.fold(settings, PARTITION);
        fleet.log()
                .records(PARTITION.stream())
                .forEach(record -> whole.apply(
                        record.offset(),
                        record.appendedAtMs(),
                        GroupCodec.decode(record.payload()).orElseThrow(),
                        position -> {}));
        Ledger folded = (Ledger) whole.state(LedgerClient.SLICE);
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

    private void liveThroughRetentions(int retentions) {
        long endMs = fleet.nowMs() + retentions * RETENTION_MS;
        while (fleet.nowMs() < endMs) {
            fleet.runFor(5_000);
            fleet.log().expireBefore(fleet.nowMs() - RETENTION_MS);
        }
    }

    private TestFleet.Daemon succeed(TestFleet.Daemon first) {
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
