package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.PartitionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class AppendFaultTests {

    private static final PartitionId PARTITION = new PartitionId(TestFleet.REGION, 0);
    private static final int RECORDS = 12;
    private static final PartitionSettings ONE_PARTITION = TestSettings.partitions(1);

    @ParameterizedTest
    @EnumSource(
            value = FakeLog.AppendFault.class,
            names = {"RESPONSE_LOST", "REQUEST_LOST", "REFUSED"})
    void singleAppendFaultNeitherLosesNorDuplicatesRecords(FakeLog.AppendFault fault) {
        for (int faulty = 0; faulty <= RECORDS; faulty++) {
            int at = faulty;
            proposeSequentially("fault " + fault + " at append " + at, append -> append == at ? fault : noFault());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = FakeLog.AppendFault.class,
            names = {"RESPONSE_LOST", "REQUEST_LOST", "REFUSED"})
    void twoConsecutiveAppendFaultsNeitherLoseNorDuplicateRecords(FakeLog.AppendFault fault) {
        for (int faulty = 0; faulty <= RECORDS; faulty++) {
            int at = faulty;
            proposeSequentially(
                    "faults " + fault + " from append " + at,
                    append -> append == at || append == at + 1 ? fault : noFault());
        }
    }

    @Test
    void losingEveryResponseNeitherLosesNorDuplicatesRecords() {
        proposeSequentially("every response lost", append -> FakeLog.AppendFault.RESPONSE_LOST);
    }

    @Test
    void lateDuplicateGroupsHaveNoEffect() {
        TestFleet fleet = new TestFleet(ONE_PARTITION, 3);
        TestFleet.Daemon daemon = fleet.start("a");
        fleet.runFor(5_000);
        daemon.propose(PARTITION, "slip 1", true);
        fleet.runFor(100);
        daemon.propose(PARTITION, "slip 2", true);
        fleet.runFor(100);
        List<LogRecord> written = fleet.log().records(PARTITION.stream());
        for (LogRecord record : written) {
            fleet.log().append(PARTITION.stream(), record.payload(), fleet.nowMs());
        }
        fleet.runFor(100);
        assertThat(daemon.ledger(PARTITION).applied()).isEqualTo(2);
        assertThat(daemon.counter("partition.void-groups")).isEqualTo(written.size());
        assertThat(daemon.stateMachine().owns(PARTITION)).isTrue();
    }

    @Test
    void recordThatIsNotAGroupIsSkipped() {
        TestFleet fleet = new TestFleet(ONE_PARTITION, 4);
        TestFleet.Daemon daemon = fleet.start("a");
        fleet.runFor(5_000);
        fleet.log().append(PARTITION.stream(), ByteString.copyFromUtf8("no group"), fleet.nowMs());
        daemon.propose(PARTITION, "slip 1", true);
        fleet.runFor(100);
        assertThat(daemon.ledger(PARTITION).entries()).containsOnlyKeys("slip 1");
    }

    private static FakeLog.AppendFault noFault() {
        return FakeLog.AppendFault.NONE;
    }

    private static void proposeSequentially(String description, FakeLog.FaultPlan faults) {
        TestFleet fleet = new TestFleet(ONE_PARTITION, 2);
        fleet.log().faults(faults);
        TestFleet.Daemon daemon = fleet.start("a");
        fleet.runFor(6_000);
        List<Long> proposals = new ArrayList<>();
        for (int record = 0; record < RECORDS; record++) {
            proposals.add(daemon.propose(PARTITION, "slip " + record, true));
            fleet.runFor(40);
        }
        fleet.runFor(20_000);
        assertThat(daemon.client().applied().keySet()).as(description).containsExactlyElementsOf(proposals);
        assertThat(daemon.client().timesApplied().values()).as(description).containsOnly(1);
        assertThat(daemon.ledger(PARTITION).applied()).as(description).isEqualTo(RECORDS);
        List<RecordPosition> positions =
                proposals.stream().map(daemon.client().applied()::get).toList();
        assertThat(positions).as(description + ": in order").isSorted();
    }
}
