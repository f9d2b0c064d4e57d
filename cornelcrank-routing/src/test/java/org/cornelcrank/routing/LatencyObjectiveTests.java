package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.cornelcrank.core.Location;
import org.cornelcrank.routing.VirtualFleet.Online;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Short peaks above the capacity, with callers who are worth most within 300 ms. */
class LatencyObjectiveTests {

    private static final long SEED = 5;
    private static final long OBJECTIVE_MS = 300;
    private static final long PERIOD_MS = 6_000;
    private static final long PEAK_MS = 2_400;
    private static final int PERIODS = 8;
    private static final int ENGINES = 4;
    private static final int SLOTS = 8;
    private static final int TOKENS = 35;
    private static final long PROMPT_MS = 20;
    private static final long TOKEN_MS = 20;
    private static final double RUN_MS = PROMPT_MS + (double) TOKENS * TOKEN_MS;
    private static final double PEAK_LOAD = 1.15;
    private static final double TROUGH_LOAD = 0.25;

    @Test
    void atPeaksMoreCallersAreAnsweredInTimeThanFirstComeFirstServed() {
        double before = timelyShare(peaks(() -> leastLoaded(RoutingSettings.defaults()), RequestOptions.DEFAULTS));
        double after = timelyShare(peaks(
                () -> leastLoaded(RoutingSettings.forLatencyObjectives()), new RequestOptions(0, false, OBJECTIVE_MS)));
        System.out.printf(
                "in time at peaks of %.2f of the capacity: %.3f before, %.3f after%n", PEAK_LOAD, before, after);
        assertThat(after).isGreaterThan(before + 0.05);
    }

    @Test
    void whoIsLateIsStillAnswered() {
        List<Online> requests = peaks(
                () -> leastLoaded(RoutingSettings.forLatencyObjectives()), new RequestOptions(0, false, OBJECTIVE_MS));
        assertThat(requests).allMatch(Online::answered);
        assertThat(requests).allMatch(request -> request.dispatchedTo.size() == 1);
    }

    private static RoutingPolicy leastLoaded(RoutingSettings settings) {
        return new RoutingPolicy(settings, new LeastLoadedTargetSelector(), AdmissionOrder.URGENCY_FIRST);
    }

    private static List<Online> peaks(Supplier<RoutingPolicy> policy, RequestOptions handling) {
        Location location = VirtualFleet.location("south", "a");
        VirtualFleet fleet = new VirtualFleet(SEED);
        fleet.handling = handling;
        for (int i = 0; i < ENGINES; i++) {
            fleet.addEngine("e" + i, location, SLOTS, PROMPT_MS, TOKEN_MS);
        }
        fleet.start(List.of(location, location, location, location), policy);
        SplittableRandom random = new SplittableRandom(SEED);
        double capacityPerMs = ENGINES * SLOTS / RUN_MS;
        List<Online> requests = new ArrayList<>();
        for (int period = 0; period < PERIODS; period++) {
            requests.addAll(load(fleet, random, capacityPerMs * TROUGH_LOAD, PERIOD_MS - PEAK_MS));
            requests.addAll(load(fleet, random, capacityPerMs * PEAK_LOAD, PEAK_MS));
        }
        fleet.run(20_000);
        return requests;
    }

    private static List<Online> load(VirtualFleet fleet, SplittableRandom random, double perMs, long spanMs) {
        List<Online> requests = new ArrayList<>();
        for (long i = 0; i < spanMs; i++) {
            if (random.nextDouble() < perMs) {
                requests.add(fleet.send(
                        random.nextInt(4),
                        Work.online(TOKENS, random.nextLong()).within(5_000)));
            }
            fleet.run(1);
        }
        return requests;
    }

    private static double timelyShare(List<Online> requests) {
        return requests.stream()
                        .filter(request -> request.answered() && request.waitMs() <= OBJECTIVE_MS)
                        .count()
                / (double) requests.size();
    }
}
