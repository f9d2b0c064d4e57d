package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RendezvousHash;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OwnershipFaultTests {

    private static final int PARTITIONS = PartitionSettings.defaults().partitionCount();
    private static final long START_MS = 6_000;
    private static final long DETECTION_MS = 2_000;
    private static final long RECOVERY_GOAL_MS = 5_000;

    private final TestFleet fleet = new TestFleet(PartitionSettings.defaults(), 11);

    @Test
    void partitionsOfCrashedOwnerAreClaimedInTimeBySeveralSurvivors() {
        startFleet("a", "b", "c", "d", "e");
        TestFleet.Daemon crashed = busiest();
        List<PartitionId> orphans = owned(crashed);
        orphans.forEach(partition -> crashed.propose(partition, "before the loss", true));
        fleet.runFor(100);
        crashed.crash(DETECTION_MS);
        long crashedAtMs = fleet.nowMs();
        while (!orphans.stream().allMatch(partition -> fleet.owners(partition).size() == 1)) {
            fleet.runFor(10);
            assertThat(fleet.nowMs() - crashedAtMs).as(fleet.trace()).isLessThan(RECOVERY_GOAL_MS);
        }
        System.out.printf(
                "recovery of %d partitions after a crash of their owner: %d ms, of which detection %d ms%n",
                orphans.size(), fleet.nowMs() - crashedAtMs, DETECTION_MS);
        Set<TestFleet.Daemon> successors = new HashSet<>();
        for (PartitionId partition : orphans) {
            TestFleet.Daemon successor = fleet.owner(partition);
            successors.add(successor);
            assertThat(successor.ledger(partition).entries()).containsOnlyKeys("before the loss");
        }
        assertThat(successors).as("successors of " + orphans).hasSizeGreaterThan(1);
    }

    @Test
    void partitionWithManyRecordsIsClaimedInTime() {
        startFleet("a", "b", "c");
        PartitionId partition = all().get(0);
        TestFleet.Daemon crashed = fleet.owner(partition);
        SplittableRandom random = new SplittableRandom(7);
        int records = 40_000;
        for (int record = 0; record < records; record++) {
            crashed.propose(partition, "item " + record + "#" + incompressible(random, 100), false);
            if (record % 100 == 0) {
                fleet.runFor(100);
            }
        }
        fleet.runFor(30_000);
        long streamBytes = fleet.log().records(partition.stream()).stream()
                .mapToLong(record -> record.payload().size())
                .sum();
        crashed.crash(DETECTION_MS);
        long crashedAtMs = fleet.nowMs();
        while (fleet.owners(partition).isEmpty()) {
            fleet.runFor(10);
            assertThat(fleet.nowMs() - crashedAtMs).as(fleet.trace()).isLessThan(RECOVERY_GOAL_MS);
        }
        System.out.printf(
                "recovery of a partition with %,d bytes in %d groups, %d checkpoints: %d ms%n",
                streamBytes,
                fleet.log().records(partition.stream()).size(),
                crashed.counter("partition.checkpoints-written"),
                fleet.nowMs() - crashedAtMs);
        assertThat(fleet.owner(partition).ledger(partition).entries()).hasSize(records);
    }

    @Test
    void lateAppendOfPausedOwnerHasNoEffect() {
        startFleet("a", "b", "c");
        TestFleet.Daemon paused = busiest();
        PartitionId partition = owned(paused).get(0);
        paused.propose(partition, "before the pause", true);
        fleet.runFor(100);
        paused.pause();
        fleet.announce(paused.host(), MemberState.DEAD);
        fleet.runFor(3_000);
        TestFleet.Daemon successor = fleet.owners(partition).stream()
                .filter(daemon -> daemon != paused)
                .findFirst()
                .orElseThrow();
        successor.propose(partition, "from the successor", true);
        fleet.runFor(100);
        long late = paused.propose(partition, "too late", true);
        paused.resume();
        fleet.announce(paused.host(), MemberState.ALIVE);
        fleet.runFor(10_000);
        assertThat(paused.stateMachine().owns(partition)).isFalse();
        assertThat(paused.client().applied()).doesNotContainKey(late);
        assertThat(fleet.owner(partition)).isSameAs(successor);
        assertThat(successor.ledger(partition).entries()).containsOnlyKeys("before the pause", "from the successor");
        assertThat(successor.counter("partition.void-groups")).isPositive();
    }

    @Test
    void daemonsThatConsiderEachOtherDeadLimitTheirClaims() {
        startFleet("a", "b");
        fleet.daemon("a").client();
        considerDead("a", "b");
        considerDead("b", "a");
        int claimsBefore = claims();
        fleet.runFor(60_000);
        for (PartitionId partition : all()) {
            assertThat(fleet.owners(partition)).as(partition.toString()).hasSizeLessThanOrEqualTo(1);
        }
        assertThat(claims() - claimsBefore).as("claims in a minute").isLessThan(PARTITIONS * 12);
    }

    @Test
    void ownersKeepPartitionsThroughLogOutage() {
        startFleet("a", "b", "c");
        List<TestFleet.Daemon> owners = all().stream().map(fleet::owner).toList();
        fleet.log().setUnavailable(true);
        fleet.runFor(1_000);
        PartitionId partition = all().get(0);
        TestFleet.Daemon owner = owners.get(0);
        long proposal = owner.propose(partition, "during the outage", true);
        fleet.runFor(300_000);
        assertThat(owner.stateMachine().logAvailable(fleet.nowMs())).isFalse();
        assertThat(owner.stateMachine().pendingBytes(partition)).isPositive();
        assertThat(owner.client().applied()).doesNotContainKey(proposal);
        fleet.log().setUnavailable(false);
        fleet.runFor(10_000);
        assertThat(owner.stateMachine().logAvailable(fleet.nowMs())).isTrue();
        assertThat(owner.client().applied()).containsKey(proposal);
        assertThat(all().stream().map(fleet::owner).toList()).isEqualTo(owners);
    }

    @Test
    void plannedStopHandsOverWithoutGapOrLoss() {
        startFleet("a", "b", "c");
        TestFleet.Daemon leaving = busiest();
        List<PartitionId> handedOver = owned(leaving);
        List<Long> proposals = new ArrayList<>();
        for (PartitionId partition : handedOver) {
            proposals.add(leaving.propose(partition, "last words", false));
        }
        leaving.stop();
        long stoppedAtMs = fleet.nowMs();
        while (!handedOver.stream()
                .allMatch(partition -> fleet.owners(partition).stream().anyMatch(daemon -> daemon != leaving))) {
            fleet.runFor(10);
            assertThat(fleet.nowMs() - stoppedAtMs).as(fleet.trace()).isLessThan(2_000);
        }
        System.out.printf(
                "handover of %d partitions at a planned stop: %d ms%n", handedOver.size(), fleet.nowMs() - stoppedAtMs);
        assertThat(leaving.stateMachine().quiescent()).isTrue();
        assertThat(leaving.client().applied().keySet()).containsAll(proposals);
        for (PartitionId partition : handedOver) {
            assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("last words");
        }
    }

    @Test
    void partitionsReleasedByLastDaemonAreClaimedByNextOne() {
        startFleet("a");
        PartitionId partition = all().get(0);
        TestFleet.Daemon last = fleet.daemon("a");
        last.propose(partition, "last words", false);
        last.stop();
        fleet.runFor(3_000);
        assertThat(last.stateMachine().quiescent()).isTrue();
        last.crash(0);
        TestFleet.Daemon next = fleet.start("b");
        fleet.runFor(START_MS);
        assertThat(fleet.owner(partition)).isSameAs(next);
        assertThat(next.ledger(partition).entries()).containsOnlyKeys("last words");
    }

    @Test
    void stoppingOwnerKeepsPartitionsUntilLogIsAvailable() {
        startFleet("a", "b");
        TestFleet.Daemon leaving = busiest();
        PartitionId partition = owned(leaving).get(0);
        fleet.log().setUnavailable(true);
        long proposal = leaving.propose(partition, "during the outage", false);
        leaving.stop();
        fleet.runFor(30_000);
        assertThat(leaving.stateMachine().quiescent()).isFalse();
        fleet.log().setUnavailable(false);
        fleet.runFor(10_000);
        assertThat(leaving.stateMachine().quiescent()).as(fleet.trace()).isTrue();
        assertThat(leaving.client().applied()).containsKey(proposal);
        assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("during the outage");
    }

    @Test
    void partitionsOfOwnerCrashedDuringOutageAreClaimedAfterwards() {
        startFleet("a", "b", "c");
        TestFleet.Daemon crashed = busiest();
        PartitionId partition = owned(crashed).get(0);
        crashed.propose(partition, "before the outage", true);
        fleet.runFor(100);
        fleet.log().setUnavailable(true);
        crashed.crash(DETECTION_MS);
        fleet.runFor(60_000);
        fleet.log().setUnavailable(false);
        fleet.runFor(RECOVERY_GOAL_MS);
        assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("before the outage");
    }

    @Test
    void partitionsOfRestartedDaemonAreClaimedAgain() {
        startFleet("a", "b", "c");
        TestFleet.Daemon first = busiest();
        List<PartitionId> partitions = owned(first);
        first.crash(Long.MAX_VALUE / 2);
        fleet.runFor(500);
        fleet.start(first.host().value());
        fleet.runFor(90_000);
        for (PartitionId partition : partitions) {
            assertThat(fleet.owners(partition))
                    .as(partition + "\n" + fleet.trace())
                    .hasSize(1);
        }
    }

    @Test
    void partitionOfOwnerThatCannotReachLogIsClaimedByAnother() {
        startFleet("a", "b", "c");
        TestFleet.Daemon unreachable = busiest();
        PartitionId partition = owned(unreachable).get(0);
        unreachable.logUnreachable(true);
        fleet.runFor(30_000);
        List<TestFleet.Daemon> others = fleet.owners(partition).stream()
                .filter(daemon -> daemon != unreachable)
                .toList();
        assertThat(others).as(fleet.trace()).hasSize(1);
        unreachable.logUnreachable(false);
        fleet.runFor(10_000);
        assertThat(fleet.owner(partition)).isSameAs(others.get(0));
    }

    @Test
    void newMemberReceivesPartitionsByHandoverOnly() {
        TestFleet rebalancing = new TestFleet(TestSettings.rebalanceAfterMs(10_000), 12);
        rebalancing.start("a");
        rebalancing.start("b");
        rebalancing.runFor(START_MS);
        TestFleet.Daemon joined = rebalancing.start("c");
        rebalancing.runFor(9_000);
        assertThat(joined.client().owned()).as("owned before the delay").isEmpty();
        rebalancing.runFor(10_000);
        assertThat(joined.client().owned()).isNotEmpty();
        assertThat(joined.counter("partition.claims-lost")).isZero();
        for (PartitionId partition : all()) {
            assertThat(rebalancing.owners(partition)).hasSize(1);
        }
    }

    @Test
    void allMembersKnowOwnerThatDiffersFromAssignedOne() {
        startFleet("a", "b", "c");
        fleet.start("d");
        fleet.start("e");
        fleet.runFor(30_000);
        int misplaced = 0;
        for (PartitionId partition : all()) {
            HostId owner = fleet.owner(partition).host();
            assertThat(owner.value()).isIn("a", "b", "c");
            for (String name : List.of("a", "b", "c", "d", "e")) {
                assertThat(fleet.daemon(name).stateMachine().likelyOwner(partition))
                        .contains(owner);
            }
            misplaced +=
                    RendezvousHash.choose(partition.toString(), List.of("a", "b", "c", "d", "e"), Function.identity())
                                    .orElseThrow()
                                    .equals(owner.value())
                            ? 0
                            : 1;
        }
        assertThat(misplaced)
                .as("partitions not owned by the daemon assigned by hash")
                .isPositive();
    }

    @Test
    void waitingProposalsAreAppendedBeforeRelease() {
        startFleet("a", "b", "c");
        TestFleet.Daemon leaving = busiest();
        PartitionId partition = owned(leaving).get(0);
        List<Long> proposals = new ArrayList<>();
        for (int record = 0; record < 12; record++) {
            proposals.add(leaving.propose(partition, "record " + record, false));
            fleet.runFor(20);
        }
        assertThat(leaving.client().applied().keySet())
                .as("some are still waiting")
                .hasSizeLessThan(proposals.size());
        leaving.stop();
        fleet.runFor(5_000);
        assertThat(leaving.client().applied().keySet()).containsAll(proposals);
        assertThat(fleet.owner(partition).ledger(partition).entries()).hasSize(proposals.size());
    }

    private void startFleet(String... names) {
        for (String name : names) {
            fleet.start(name);
        }
        fleet.runFor(START_MS);
    }

    private static String incompressible(SplittableRandom random, int words) {
        StringBuilder text = new StringBuilder();
        for (int word = 0; word < words; word++) {
            text.append(Long.toString(random.nextLong(), 36));
        }
        return text.toString();
    }

    private void considerDead(String observer, String subject) {
        fleet.daemon(observer).setMemberState(new HostId(subject), MemberState.DEAD);
    }

    private int claims() {
        int claims = 0;
        for (String name : List.of("a", "b")) {
            claims += (int) fleet.daemon(name).counter("partition.claims-won");
        }
        return claims;
    }

    private TestFleet.Daemon busiest() {
        TestFleet.Daemon busiest = null;
        for (PartitionId partition : all()) {
            TestFleet.Daemon owner = fleet.owner(partition);
            if (busiest == null || owned(owner).size() > owned(busiest).size()) {
                busiest = owner;
            }
        }
        return busiest;
    }

    private static List<PartitionId> owned(TestFleet.Daemon daemon) {
        return List.copyOf(daemon.client().owned().keySet());
    }

    private static List<PartitionId> all() {
        List<PartitionId> partitions = new ArrayList<>();
        for (int index = 0; index < PARTITIONS; index++) {
            partitions.add(new PartitionId(TestFleet.REGION, index));
        }
        return partitions;
    }
}
