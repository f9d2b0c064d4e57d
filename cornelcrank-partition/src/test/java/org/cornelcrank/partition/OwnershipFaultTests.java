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
    void theLossOfAnOwnerIsRepairedInTimeAndSpreadOverTheSurvivors() {
        startFleet("a", "b", "c", "d", "e");
        TestFleet.Daemon lost = busiest();
        List<PartitionId> orphans = owned(lost);
        orphans.forEach(partition -> lost.propose(partition, "before the loss", true));
        fleet.runFor(100);
        lost.crash(DETECTION_MS);
        long lostAtMs = fleet.nowMs();
        while (!orphans.stream().allMatch(partition -> fleet.owners(partition).size() == 1)) {
            fleet.runFor(10);
            assertThat(fleet.nowMs() - lostAtMs).as(fleet.trace()).isLessThan(RECOVERY_GOAL_MS);
        }
        System.out.printf(
                "recovery of %d partitions after the loss of their owner: %d ms, of which detection %d ms%n",
                orphans.size(), fleet.nowMs() - lostAtMs, DETECTION_MS);
        Set<TestFleet.Daemon> successors = new HashSet<>();
        for (PartitionId partition : orphans) {
            TestFleet.Daemon successor = fleet.owner(partition);
            successors.add(successor);
            assertThat(successor.ledger(partition).entries()).containsOnlyKeys("before the loss");
        }
        assertThat(successors).as("successors of " + orphans).hasSizeGreaterThan(1);
    }

    @Test
    void aPartitionWithManyRecordsIsTakenOverInTimeAsWell() {
        startFleet("a", "b", "c");
        PartitionId partition = all().get(0);
        TestFleet.Daemon lost = fleet.owner(partition);
        SplittableRandom random = new SplittableRandom(7);
        int records = 40_000;
        for (int record = 0; record < records; record++) {
            lost.propose(partition, "item " + record + "#" + incompressible(random, 100), false);
            if (record % 100 == 0) {
                fleet.runFor(100);
            }
        }
        fleet.runFor(30_000);
        long streamBytes = fleet.log().records(partition.stream()).stream()
                .mapToLong(record -> record.payload().size())
                .sum();
        lost.crash(DETECTION_MS);
        long lostAtMs = fleet.nowMs();
        while (fleet.owners(partition).isEmpty()) {
            fleet.runFor(10);
            assertThat(fleet.nowMs() - lostAtMs).as(fleet.trace()).isLessThan(RECOVERY_GOAL_MS);
        }
        System.out.printf(
                "recovery of a partition with %,d bytes in %d groups, %d checkpoints: %d ms%n",
                streamBytes,
                fleet.log().records(partition.stream()).size(),
                lost.counter("partition.checkpoints-written"),
                fleet.nowMs() - lostAtMs);
        assertThat(fleet.owner(partition).ledger(partition).entries()).hasSize(records);
    }

    @Test
    void whatAPausedOwnerAppendsLateIsVoid() {
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
        assertThat(paused.duty().owns(partition)).isFalse();
        assertThat(paused.client().applied()).doesNotContainKey(late);
        assertThat(fleet.owner(partition)).isSameAs(successor);
        assertThat(successor.ledger(partition).entries()).containsOnlyKeys("before the pause", "from the successor");
        assertThat(successor.counter("partition.void-groups")).isPositive();
    }

    @Test
    void daemonsThatBelieveEachOtherDeadDoNotClaimWithoutEnd() {
        startFleet("a", "b");
        fleet.daemon("a").client();
        believeDead("a", "b");
        believeDead("b", "a");
        int claimsBefore = claims();
        fleet.runFor(60_000);
        for (PartitionId partition : all()) {
            assertThat(fleet.owners(partition)).as(partition.toString()).hasSizeLessThanOrEqualTo(1);
        }
        assertThat(claims() - claimsBefore).as("claims in a minute").isLessThan(PARTITIONS * 12);
    }

    @Test
    void aStoreOutageExpiresNothing() {
        startFleet("a", "b", "c");
        List<TestFleet.Daemon> owners = all().stream().map(fleet::owner).toList();
        fleet.log().outage(true);
        fleet.runFor(1_000);
        PartitionId partition = all().get(0);
        TestFleet.Daemon owner = owners.get(0);
        long proposal = owner.propose(partition, "during the outage", true);
        fleet.runFor(300_000);
        assertThat(owner.duty().logAnswers(fleet.nowMs())).isFalse();
        assertThat(owner.duty().pendingBytes(partition)).isPositive();
        assertThat(owner.client().applied()).doesNotContainKey(proposal);
        fleet.log().outage(false);
        fleet.runFor(10_000);
        assertThat(owner.duty().logAnswers(fleet.nowMs())).isTrue();
        assertThat(owner.client().applied()).containsKey(proposal);
        assertThat(all().stream().map(fleet::owner).toList()).isEqualTo(owners);
    }

    @Test
    void aPlannedStopHandsOverWithoutAGapOrALoss() {
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
                "hand-over of %d partitions at a planned stop: %d ms%n",
                handedOver.size(), fleet.nowMs() - stoppedAtMs);
        assertThat(leaving.duty().quiescent()).isTrue();
        assertThat(leaving.client().applied().keySet()).containsAll(proposals);
        for (PartitionId partition : handedOver) {
            assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("last words");
        }
    }

    @Test
    void theLastDaemonReleasesAndTheNextStartClaimsAtOnce() {
        startFleet("a");
        PartitionId partition = all().get(0);
        TestFleet.Daemon last = fleet.daemon("a");
        last.propose(partition, "last words", false);
        last.stop();
        fleet.runFor(3_000);
        assertThat(last.duty().quiescent()).isTrue();
        last.crash(0);
        TestFleet.Daemon next = fleet.start("b");
        fleet.runFor(START_MS);
        assertThat(fleet.owner(partition)).isSameAs(next);
        assertThat(next.ledger(partition).entries()).containsOnlyKeys("last words");
    }

    @Test
    void aStopDuringAnOutageKeepsWhatItOwnsUntilTheLogAnswers() {
        startFleet("a", "b");
        TestFleet.Daemon leaving = busiest();
        PartitionId partition = owned(leaving).get(0);
        fleet.log().outage(true);
        long proposal = leaving.propose(partition, "during the outage", false);
        leaving.stop();
        fleet.runFor(30_000);
        assertThat(leaving.duty().quiescent()).isFalse();
        fleet.log().outage(false);
        fleet.runFor(10_000);
        assertThat(leaving.duty().quiescent()).as(fleet.trace()).isTrue();
        assertThat(leaving.client().applied()).containsKey(proposal);
        assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("during the outage");
    }

    @Test
    void anOwnerLostWhileTheLogIsOutIsSucceededOnceItAnswers() {
        startFleet("a", "b", "c");
        TestFleet.Daemon lost = busiest();
        PartitionId partition = owned(lost).get(0);
        lost.propose(partition, "before the outage", true);
        fleet.runFor(100);
        fleet.log().outage(true);
        lost.crash(DETECTION_MS);
        fleet.runFor(60_000);
        fleet.log().outage(false);
        fleet.runFor(RECOVERY_GOAL_MS);
        assertThat(fleet.owner(partition).ledger(partition).entries()).containsOnlyKeys("before the outage");
    }

    @Test
    void anOwnerThatRestartsUnderItsNameIsSucceeded() {
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
    void anOwnerCutOffFromTheLogIsSucceededThoughItLives() {
        startFleet("a", "b", "c");
        TestFleet.Daemon cutOff = busiest();
        PartitionId partition = owned(cutOff).get(0);
        cutOff.cutFromLog(true);
        fleet.runFor(30_000);
        List<TestFleet.Daemon> others = fleet.owners(partition).stream()
                .filter(daemon -> daemon != cutOff)
                .toList();
        assertThat(others).as(fleet.trace()).hasSize(1);
        cutOff.cutFromLog(false);
        fleet.runFor(10_000);
        assertThat(fleet.owner(partition)).isSameAs(others.get(0));
    }

    @Test
    void aNewMemberGetsItsShareByHandOverOnly() {
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
    void othersLearnWhoOwnsAPartitionThatHasAnotherPlaceByHash() {
        startFleet("a", "b", "c");
        fleet.start("d");
        fleet.start("e");
        fleet.runFor(30_000);
        int elsewhere = 0;
        for (PartitionId partition : all()) {
            HostId owner = fleet.owner(partition).host();
            assertThat(owner.value()).isIn("a", "b", "c");
            for (String name : List.of("a", "b", "c", "d", "e")) {
                assertThat(fleet.daemon(name).duty().likelyOwner(partition)).contains(owner);
            }
            elsewhere +=
                    RendezvousHash.choose(partition.toString(), List.of("a", "b", "c", "d", "e"), Function.identity())
                                    .orElseThrow()
                                    .equals(owner.value())
                            ? 0
                            : 1;
        }
        assertThat(elsewhere).as("partitions that are not at their place").isPositive();
    }

    @Test
    void whatStillWaitsAtAPlannedStopIsAppendedBeforeTheRelease() {
        startFleet("a", "b", "c");
        TestFleet.Daemon leaving = busiest();
        PartitionId partition = owned(leaving).get(0);
        List<Long> proposals = new ArrayList<>();
        for (int record = 0; record < 12; record++) {
            proposals.add(leaving.propose(partition, "record " + record, false));
            fleet.runFor(20);
        }
        assertThat(leaving.client().applied().keySet()).as("some still wait").hasSizeLessThan(proposals.size());
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

    private void believeDead(String believer, String subject) {
        fleet.daemon(believer).believe(new HostId(subject), MemberState.DEAD);
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
