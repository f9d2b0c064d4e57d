package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.PolicyExperiment.Scenario;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class OverloadTests {

    private static final long SEED = 77;
    private static final long SPAN_MS = 60_000;
    private static final long DEADLINE_MS = 5_000;
    private static final double[] LOADS = {0.8, 1.0, 1.2, 1.5, 2.0};

    static Scenario[] scenarios() {
        return new Scenario[] {Scenario.nilavu(), Scenario.tatranske()};
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void goodputAtTwiceTheCapacityStaysNearItsPeak(Scenario scenario) {
        double peak = 0;
        double last = 0;
        System.out.println("| scenario | load | goodput/s | answered | p99 wait ms | refused not run |");
        for (double load : LOADS) {
            PolicyExperiment run = new PolicyExperiment(scenario, RoutingPolicy::defaults, true, SEED, SPAN_MS)
                    .runOnline(DEADLINE_MS, load)
                    .drain();
            last = run.goodputPerSecond();
            peak = Math.max(peak, last);
            System.out.println(PolicyExperiment.format(
                    "| %s | %.1f | %.2f | %.3f | %d | %d |",
                    scenario.name(), load, last, run.completedShare(), run.waitMs(990), refusedNotRun(run)));
        }
        assertThat(last).as("goodput at twice the capacity").isGreaterThanOrEqualTo(0.95 * peak);
    }

    private static long refusedNotRun(PolicyExperiment run) {
        return run.fleet.sentRequests.values().stream()
                .filter(request -> request.reply instanceof Refusal refusal
                        && refusal.verdict().equals(Verdict.NOT_RUN))
                .count();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void burstThatFillsAllSlotsRunsWithinFiftyMs(Scenario scenario) {
        PolicyExperiment run = new PolicyExperiment(scenario, RoutingPolicy::defaults, true, SEED, SPAN_MS);
        int slots = 0;
        for (EngineModel engine : run.fleet.engines.values()) {
            RegionId region = run.fleet.hosts.get(engine.id).location().region();
            int[] daemons = run.fleet.nodes.stream()
                    .filter(node -> node.identity.location().region().equals(region))
                    .mapToInt(node -> node.index)
                    .toArray();
            for (int i = 0; i < engine.slots; i++) {
                run.fleet.send(daemons[slots % daemons.length], Work.online(100, slots));
                slots++;
            }
        }
        run.fleet.run(50);
        long running = run.fleet.engines.values().stream()
                .flatMap(engine -> engine.running.values().stream())
                .filter(job -> job.work.urgency() != Urgency.BATCH)
                .count();
        System.out.println(
                PolicyExperiment.format("| %s | burst of %d | %d run after 50 ms |", scenario.name(), slots, running));
        assertThat(running).isEqualTo(slots);
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedAsNotRunWithRetryAfter() {
        VirtualFleet fleet = new VirtualFleet(SEED);
        fleet.addEngine("r1", VirtualFleet.NORTH, 2, 100, 10);
        fleet.start(List.of(VirtualFleet.NORTH), RoutingPolicy::defaults);
        fleet.send(0, Work.online(100, 1));
        fleet.run(3_000);
        for (int i = 0; i < 30; i++) {
            fleet.send(0, Work.online(100, 10 + i).withDeadline(2_500));
        }
        fleet.run(5_000);
        assertThat(fleet.sentRequests.values())
                .filteredOn(SentRequest::completed)
                .allMatch(SentRequest::completedInTime);
        assertThat(fleet.sentRequests.values())
                .filteredOn(request -> !request.completed())
                .isNotEmpty()
                .allSatisfy(request -> assertThat(request.reply).isInstanceOfSatisfying(Refusal.class, refusal -> {
                    assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
                    assertThat(refusal.retryAfterMs()).isPositive();
                }));
    }
}
