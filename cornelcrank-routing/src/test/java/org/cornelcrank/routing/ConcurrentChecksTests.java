package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.routing.VirtualFleet.Cut;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons that lose many targets at once. */
class ConcurrentChecksTests {

    /** The budget of each daemon for control messages, in bytes per second. */
    private static final long BUDGET_BYTES = 4_000;

    private static final int DAEMONS = 10;
    private static final int TARGETS = 1_600;
    private static final int REQUESTS = 800;

    /** For how many targets other daemons are asked at once. */
    private static final int AT_ONCE = 16;

    private final VirtualFleet fleet = new VirtualFleet(11);
    private final List<SentRequest> running = new ArrayList<>();

    @BeforeEach
    void start() {
        List<Location> dataCentres =
                List.of(VirtualFleet.SOUTH, VirtualFleet.location("south", "south-b"), VirtualFleet.NORTH);
        for (int i = 0; i < TARGETS; i++) {
            fleet.addEngine("r-" + i, dataCentres.get(i % dataCentres.size()), 8, 20, 20);
        }
        fleet.requestOptions = new RequestOptions(3, true, 0, Optional.empty(), Optional.empty());
        fleet.resumesAnywhere = true;
        fleet.start(
                IntStream.range(0, DAEMONS)
                        .mapToObj(i -> dataCentres.get(i % dataCentres.size()))
                        .toList(),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        new PrefixAffinityTargetSelector(),
                        AdmissionOrder.URGENCY_FIRST));
        for (int i = 0; i < REQUESTS; i++) {
            running.add(send());
        }
        fleet.run(400);
    }

    private SentRequest send() {
        return fleet.send(0, Work.online(100, 1_000 + fleet.sentRequests.size()).withDeadline(8_000));
    }

    /** Sends requests after a cut has lasted for a second. */
    private void assertServed() {
        List<SentRequest> after = IntStream.range(0, 40).mapToObj(i -> send()).toList();
        fleet.run(8_000);
        assertThat(after).allMatch(SentRequest::completedInTime);
    }

    private void assertWithinBudget(long spanMs) {
        assertThat(fleet.nodes).allSatisfy(node -> assertThat(node.checkBytes)
                .as("node %d", node.index)
                .isLessThanOrEqualTo(BUDGET_BYTES * spanMs / 1_000));
    }

    @ParameterizedTest
    @CsvSource({"1,REFUSED", "1,SILENT", "10,REFUSED", "10,SILENT"})
    void checksStayWithinTheControlBudgetIfAllTargetsAreLost(int daemons, Cut cut) {
        IntStream.range(0, daemons).forEach(daemon -> fleet.cutFromTargets(daemon, cut));
        fleet.run(1_000);
        assertThat(fleet.count("paths-checked")).isGreaterThan(100);
        assertWithinBudget(1_000);
        if (daemons < DAEMONS) {
            assertServed();
        }
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void targetsAreRelayedIfManyOfThemAreLostAndOthersAreNot(Cut cut) {
        halfOfTargetsUsed().forEach(target -> fleet.cutFromTarget(0, target, cut));
        fleet.run(1_000);
        assertWithinBudget(1_000);
        assertServed();
    }

    /** Guards against targets that count as down as one daemon, asked alone, does not reach them either. */
    @ParameterizedTest
    @EnumSource(Cut.class)
    void targetsAreNotEjectedAsOneFurtherDaemonDoesNotReachThem(Cut cut) {
        fleet.keepEffects = true;
        int further = 0;
        for (TargetId target : halfOfTargetsUsed()) {
            fleet.cutFromTarget(0, target, cut);
            fleet.cutFromTarget(1 + further++ % (DAEMONS - 1), target, cut);
        }
        fleet.run(3_000);
        assertThat(fleet.count("paths-lost")).isGreaterThan(100);
        assertThat(fleet.nodes).allSatisfy(node -> assertThat(node.effects)
                .noneMatch(effect -> effect instanceof Effect.Explain explain
                        && explain.decision().equals("ejected")));
        assertServed();
    }

    /** Guards against checks that wait for daemons, asked alone, that do not reply any more. */
    @Test
    void checksGoOnWithoutDaemonsThatDoNotReply() {
        List<TargetId> lost = halfOfTargetsUsed();
        lost.subList(0, 20).forEach(target -> fleet.cutFromTarget(0, target, Cut.REFUSED));
        fleet.run(200);
        fleet.nodes.subList(1, DAEMONS / 2).forEach(node -> node.losesProbes = true);
        lost.subList(20, 20 + AT_ONCE).forEach(target -> fleet.cutFromTarget(0, target, Cut.REFUSED));
        fleet.run(400);
        assertThat(fleet.count("paths-lost")).isGreaterThanOrEqualTo(20 + AT_ONCE);
        assertServed();
    }

    /** Guards against a question about each target that is silent through relays that have lost their ways. */
    @ParameterizedTest
    @EnumSource(Cut.class)
    void checksStayWithinTheControlBudgetIfRelaysLoseTheirWays(Cut cut) {
        fleet.cutFromTargets(0, cut);
        fleet.run(2_000);
        fleet.nodes.forEach(node -> node.checkBytes = 0);
        IntStream.range(1, DAEMONS - 1).forEach(daemon -> fleet.cutFromTargets(daemon, cut));
        fleet.run(1_000);
        assertWithinBudget(1_000);
        fleet.run(1_000);
        assertServed();
    }

    private List<TargetId> halfOfTargetsUsed() {
        List<TargetId> used = running.stream()
                .map(request -> request.dispatchedTo.get(0))
                .distinct()
                .toList();
        return used.subList(0, used.size() / 2);
    }

    @Test
    void checksThatWaitForOthersAreNotLeftWithoutAResult() {
        Set<TargetId> lost = new TreeSet<>(running.stream()
                .map(request -> request.dispatchedTo.get(0))
                .filter(target -> target.value().hashCode() % 2 == 0)
                .toList());
        IntStream.range(0, 60).forEach(i -> send());
        fleet.run(10);
        fleet.keepEffects = true;
        fleet.nodes.forEach(node -> node.losesProbes = true);
        lost.forEach(target -> fleet.cutFromTarget(0, target, Cut.REFUSED));
        fleet.run(300);
        fleet.nodes.forEach(node -> node.losesProbes = false);
        fleet.run(1_700);
        assertThat(fleet.nodes.get(0).effects)
                .noneMatch(effect -> effect instanceof Effect.Explain explain
                        && explain.reason().contains("no target is reached"));
        assertThat(fleet.count("paths-checked")).isGreaterThan(100);
        assertThat(fleet.count("paths-lost")).isEqualTo(fleet.count("paths-checked"));
        assertServed();
    }
}
