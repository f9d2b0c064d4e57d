package org.cornelcrank.partition;

import org.cornelcrank.core.PartitionId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PartitionStateMachineTests {

    private static final PartitionId PARTITION = new PartitionId(TestFleet.REGION, 0);
    private static final long START_MS = 5_000;

    private final TestFleet fleet = new TestFleet(PartitionSettings.defaults(), 1);

    @Test
    void everyPartitionHasOneOwnerAfterStart() {
        fleet.start("a");
        fleet.start("b");
        fleet.start("c");
        fleet.runFor(START_MS);
        for (int index = 0; index < PartitionSettings.defaults().partitionCount(); index++) {
            assertThat(fleet.owners(new PartitionId(TestFleet.REGION, index))).hasSize(1);
        }
    }

    @Test
    void proposalIsAppliedOnceReadBack() {
        TestFleet.Daemon daemon = fleet.start("a");
        fleet.runFor(START_MS);
        long proposal = daemon.propose(PARTITION, "slip 1", true);
        assertThat(daemon.client().applied()).isEmpty();
        fleet.runFor(100);
        assertThat(daemon.client().applied()).containsKey(proposal);
        assertThat(daemon.ledger(PARTITION).entries()).containsKey("slip 1");
    }

    @Test
    void proposalToUnownedPartitionIsRejected() {
        TestFleet.Daemon daemon = fleet.start("a");
        assertThatThrownBy(() -> daemon.propose(PARTITION, "slip 1", true))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("must be owned");
    }
}
