package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.PartitionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AppendBudgetTests {

    private static final int ITEMS_PER_SECOND = 1_400;
    private static final int SECONDS = 120;
    private static final int DAEMONS = 10;
    private static final long STEP_MS = 50;
    private static final String RESULT = "#" + "visit summary ".repeat(36);

    @ParameterizedTest
    @ValueSource(ints = {16, 32})
    void itemsOfAllOwnersStayWithinAppendBudget(int partitions) {
        TestFleet fleet = startFleet(partitions);
        int appendsBefore = fleet.log().appends();
        int items = 0;
        for (long step = 0; step < SECONDS * 1_000L / STEP_MS; step++) {
            for (int item = 0; item < ITEMS_PER_SECOND * STEP_MS / 1_000; item++) {
                PartitionId partition = PartitionId.ofKey(TestFleet.REGION, "item " + items, partitions);
                TestFleet.Daemon owner = fleet.owner(partition);
                owner.propose(partition, "item " + items + RESULT, false);
                items++;
            }
            fleet.runFor(STEP_MS);
        }
        int appends = fleet.log().appends() - appendsBefore;
        double appendsPerSecond = (double) appends / SECONDS;
        double appendsPerThousand = 1_000.0 * appends / items;
        System.out.printf(
                "%d partitions, %d items/s of %d bytes: %.1f appends/s, %.1f appends per 1,000 items%n",
                partitions, ITEMS_PER_SECOND, RESULT.length(), appendsPerSecond, appendsPerThousand);
        assertThat(appendsPerSecond).isLessThanOrEqualTo(150);
        assertThat(appendsPerThousand).isLessThanOrEqualTo(10);
        fleet.runFor(20_000);
        assertThat(appliedItems(fleet, partitions)).isEqualTo(items);
        printLatencies(latenciesMs(fleet));
    }

    @Test
    void urgentProposalsStayWithinAppendBudget() {
        int partitions = 16;
        TestFleet fleet = startFleet(partitions);
        fleet.runFor(10_000);
        int appendsBefore = fleet.log().appends();
        int calls = 0;
        for (int step = 0; step < 60_000 / 10; step++) {
            for (int call = 0; call < 10; call++) {
                PartitionId partition = PartitionId.ofKey(TestFleet.REGION, "call " + calls, partitions);
                fleet.owner(partition).propose(partition, "call " + calls, true);
                calls++;
            }
            fleet.runFor(10);
        }
        double appendsPerSecond = (fleet.log().appends() - appendsBefore) / 60.0;
        System.out.printf("1,000 urgent proposals/s: %.1f appends/s%n", appendsPerSecond);
        // Each partition can spend its saved burst once on top of the budget.
        double burstPerSecond = (double) partitions * AppendAllowance.HARD_BURST / 60;
        assertThat(appendsPerSecond).isLessThanOrEqualTo(150 + burstPerSecond);
        fleet.runFor(5_000);
        assertThat(appliedItems(fleet, partitions)).isEqualTo(calls);
    }

    @Test
    void idleOwnerAppendsImmediately() {
        TestFleet fleet = startFleet(16);
        PartitionId partition = new PartitionId(TestFleet.REGION, 3);
        TestFleet.Daemon owner = fleet.owner(partition);
        for (boolean urgent : new boolean[] {true, false}) {
            fleet.runFor(30_000);
            long number = owner.propose(partition, "alone " + urgent, urgent);
            fleet.runFor(3 * TestFleet.LOG_LATENCY_MS);
            assertThat(owner.client().applied()).containsKey(number);
        }
    }

    private static List<Long> latenciesMs(TestFleet fleet) {
        List<Long> latencies = new ArrayList<>();
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            latencies.addAll(fleet.daemon("d" + daemon).client().latenciesMs());
        }
        latencies.sort(null);
        return latencies;
    }

    private static void printLatencies(List<Long> latencies) {
        System.out.printf(
                "  from proposal to read-back: p50 %d ms, p99 %d ms, max %d ms%n",
                latencies.get(latencies.size() / 2),
                latencies.get(latencies.size() * 99 / 100),
                latencies.get(latencies.size() - 1));
    }

    private static TestFleet startFleet(int partitions) {
        TestFleet fleet = new TestFleet(TestSettings.partitions(partitions), 31);
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            fleet.start("d" + daemon);
        }
        fleet.runFor(20_000);
        return fleet;
    }

    private static int appliedItems(TestFleet fleet, int partitions) {
        List<Integer> applied = new ArrayList<>();
        for (int index = 0; index < partitions; index++) {
            PartitionId partition = new PartitionId(TestFleet.REGION, index);
            applied.add(fleet.owner(partition).ledger(partition).applied());
        }
        return applied.stream().mapToInt(Integer::intValue).sum();
    }
}
