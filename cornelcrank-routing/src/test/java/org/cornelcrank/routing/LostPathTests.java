package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.Cut;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons that cannot reach any target, while their callers and the other daemons still reach them. */
class LostPathTests {

    /** How soon after a cut the daemons without a way to the targets must serve their callers as well as the others. */
    private static final long GOAL_MS = 1_000;

    private static final long ARRIVAL_INTERVAL_MS = 20;
    private static final Location OTHER_SOUTH = VirtualFleet.location("south", "south-b");

    private final VirtualFleet fleet = new VirtualFleet(11);
    private final List<SentRequest> sent = new ArrayList<>();
    private long fingerprint = 1_000;

    private void start(int daemonsPerDataCentre, int targetsPerDataCentre) {
        List<Location> dataCentres = List.of(VirtualFleet.SOUTH, OTHER_SOUTH, VirtualFleet.NORTH);
        for (Location dataCentre : dataCentres) {
            for (int i = 0; i < targetsPerDataCentre; i++) {
                fleet.addEngine("r-" + dataCentre.dataCentre() + "-" + i, dataCentre, 8, 20, 5);
            }
        }
        fleet.requestOptions = new RequestOptions(3, true, 0, Optional.empty(), Optional.empty());
        fleet.resumesAnywhere = true;
        fleet.start(
                IntStream.range(0, daemonsPerDataCentre * dataCentres.size())
                        .mapToObj(i -> dataCentres.get(i % dataCentres.size()))
                        .toList(),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        new PrefixAffinityTargetSelector(),
                        AdmissionOrder.URGENCY_FIRST));
        fleet.keepEffects = true;
    }

    /** Sends requests to all daemons in turn; returns those sent within the time span. */
    private List<SentRequest> play(long spanMs) {
        int from = sent.size();
        long endMs = fleet.nowMs + spanMs;
        while (fleet.nowMs < endMs) {
            sent.add(fleet.send(
                    sent.size() % fleet.nodes.size(),
                    Work.online(35, ++fingerprint).withDeadline(5_000)));
            fleet.run(ARRIVAL_INTERVAL_MS);
        }
        return List.copyOf(sent.subList(from, sent.size()));
    }

    private void finish() {
        fleet.run(6_000);
    }

    private void cut(int count, Cut cut) {
        for (int daemon = 0; daemon < count; daemon++) {
            fleet.cutFromTargets(daemon, cut);
        }
    }

    private static List<SentRequest> notCompleted(List<SentRequest> requests) {
        return requests.stream().filter(request -> !request.completed()).toList();
    }

    private static List<Effect.Explain> decisions(VirtualFleet.Node node, String decision) {
        return node.effects.stream()
                .filter(Effect.Explain.class::isInstance)
                .map(Effect.Explain.class::cast)
                .filter(explain -> explain.decision().equals(decision))
                .toList();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void daemonsWithoutAWayToTheTargetsServeTheirCallersThroughOthers(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        play(GOAL_MS);
        List<SentRequest> during = play(8_000);
        finish();
        assertThat(notCompleted(during)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void requestsThatRunWhenTheWayIsLostGoOnThroughOthers(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        List<SentRequest> during = play(GOAL_MS);
        finish();
        assertThat(notCompleted(sent)).isEmpty();
        assertThat(during).allMatch(SentRequest::completedInTime);
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void allDaemonsOfADataCentreAreServedByOtherDataCentres(Cut cut) {
        start(4, 4);
        play(3_000);
        for (int daemon = 2; daemon < fleet.nodes.size(); daemon += 3) {
            fleet.cutFromTargets(daemon, cut);
        }
        play(GOAL_MS);
        List<SentRequest> during = play(8_000);
        finish();
        assertThat(notCompleted(during)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void targetsThatOthersReachAreEjectedNowhere(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        play(8_000);
        assertThat(fleet.nodes.subList(7, fleet.nodes.size()))
                .allSatisfy(node -> assertThat(decisions(node, "ejected")).isEmpty());
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void requestsThatLostTheirTargetWithTheWayAreNotSuspected(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        play(4_000);
        IntStream.range(0, 7).forEach(fleet::reconnectToTargets);
        play(2_000);
        cut(5, cut);
        play(4_000);
        finish();
        assertThat(fleet.nodes).allSatisfy(node -> assertThat(decisions(node, "request suspected"))
                .isEmpty());
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void targetsAreReachedDirectlyAgainAfterTheCut(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        play(5_000);
        IntStream.range(0, 7).forEach(fleet::reconnectToTargets);
        play(1_000);
        long relayed = fleet.count("attempts-relayed");
        List<SentRequest> after = play(3_000);
        finish();
        assertThat(relayed).isPositive();
        assertThat(fleet.count("attempts-relayed")).isEqualTo(relayed);
        assertThat(notCompleted(after)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void targetThatIsDownIsEjectedAtDaemonsThatRelayToo(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(7, cut);
        play(2_000);
        fleet.crashTarget(fleet.engines.keySet().iterator().next(), 3_000);
        play(500);
        List<SentRequest> during = play(2_000);
        finish();
        assertThat(notCompleted(during)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void requestThatMayNotBeRepeatedRunsAtMostOnceThroughOthers(Cut cut) {
        start(4, 4);
        play(1_000);
        List<SentRequest> unrepeatable = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            if (i == 50) {
                cut(7, cut);
            }
            Work work = Work.online(35, ++fingerprint).withDeadline(5_000).notRepeatable();
            unrepeatable.add(fleet.send(i % fleet.nodes.size(), work, RequestOptions.DEFAULTS));
            fleet.run(ARRIVAL_INTERVAL_MS);
        }
        finish();
        assertThat(unrepeatable).allSatisfy(request -> {
            assertThat(request.runs).isLessThanOrEqualTo(1);
            if (request.reply instanceof Refusal refusal && refusal.verdict().equals(Verdict.NOT_RUN)) {
                assertThat(request.runs).isZero();
            }
        });
        assertThat(notCompleted(unrepeatable.subList(100, 200))).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void relaysThatLoseTheirOwnWayAreReplaced(Cut cut) {
        start(4, 4);
        play(3_000);
        cut(3, cut);
        play(2_000);
        for (int daemon = 3; daemon < 8; daemon++) {
            fleet.cutFromTargets(daemon, cut);
        }
        play(GOAL_MS);
        List<SentRequest> during = play(4_000);
        finish();
        assertThat(notCompleted(during)).isEmpty();
    }

    @Test
    void requestsAreRefusedAtOnceIfNobodyReachesATarget() {
        start(4, 4);
        play(1_000);
        cut(fleet.nodes.size(), Cut.REFUSED);
        play(GOAL_MS);
        List<SentRequest> during = play(2_000);
        finish();
        assertThat(during).allSatisfy(request -> {
            assertThat(request.reply).isInstanceOf(Refusal.class);
            assertThat(request.endedAtMs - request.sentAtMs).isLessThanOrEqualTo(500);
        });
    }

    /** Guards against streams that are cut while all daemons have lost their ways for a moment. */
    @Test
    void streamsUnderWayAreResumedAfterACutOfAllDaemons() {
        start(4, 4);
        play(3_000);
        List<SentRequest> streams = IntStream.range(0, fleet.nodes.size())
                .mapToObj(daemon -> fleet.send(daemon, Work.online(400, ++fingerprint)))
                .toList();
        fleet.run(500);
        cut(fleet.nodes.size(), Cut.REFUSED);
        fleet.run(3_000);
        IntStream.range(0, fleet.nodes.size()).forEach(fleet::reconnectToTargets);
        fleet.run(6_500);
        assertThat(notCompleted(streams)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void itemsOfDaemonsWithoutAWayToTheTargetsGoOn(Cut cut) {
        start(4, 4);
        BatchOwnerModel owner = new BatchOwnerModel(
                fleet.nodes.get(0), "job", "/nilavu/summaries", 40, 50, fleet.nowMs + 60_000, OptionalLong.empty());
        owner.start(fleet.nowMs);
        fleet.run(200);
        cut(7, cut);
        fleet.run(15_000);
        assertThat(owner.finished).isEqualTo(40);
    }
}
