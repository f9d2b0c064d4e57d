package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.cornelcrank.core.Location;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests short peaks above the capacity, where a response is worth most if it starts within 300 ms. */
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
    void moreRequestsAreServedInTimeAtPeaksThanWithDefaults() {
        double before = inTimeShare(peaks(() -> leastLoaded(RoutingSettings.defaults()), RequestOptions.DEFAULTS));
        double after = inTimeShare(peaks(
                () -> leastLoaded(RoutingSettings.forLatencyObjectives()), new RequestOptions(0, false, OBJECTIVE_MS)));
        System.out.printf(
                "in time at peaks of %.2f of the capacity: %.3f before, %.3f after%n", PEAK_LOAD, before, after);
        assertThat(after).isGreaterThan(before + 0.05);
    }

    @Test
    void lateRequestsStillComplete() {
        List<SentRequest> requests = peaks(
                () -> leastLoaded(RoutingSettings.forLatencyObjectives()), new RequestOptions(0, false, OBJECTIVE_MS));
        assertThat(requests).allMatch(SentRequest::completed);
        assertThat(requests).allMatch(request -> request.dispatchedTo.size() == 1);
    }

    /** A retry after a crash is late, and its time is shorter than most requests take, but a slot is free. */
    @Test
    void lateRetryIsNotRefusedWhileASlotIsFree() {
        Location location = VirtualFleet.location("south", "a");
        VirtualFleet fleet = new VirtualFleet(SEED);
        fleet.requestOptions = new RequestOptions(2, true, OBJECTIVE_MS);
        for (int i = 0; i < 2; i++) {
            fleet.addEngine("e" + i, location, SLOTS, PROMPT_MS, TOKEN_MS);
        }
        fleet.start(List.of(location, location), () -> leastLoaded(RoutingSettings.forLatencyObjectives()));
        for (int i = 0; i < 10; i++) {
            fleet.send(0, Work.online(TOKENS, i));
            fleet.run(300);
        }
        fleet.run(2_000);
        SentRequest request = fleet.send(0, Work.online(TOKENS, 100).withDeadline(1_000));
        fleet.run(400);
        fleet.crashTarget(request.dispatchedTo.get(0), 5_000);
        fleet.run(1_000);
        assertThat(request.dispatchedTo).hasSize(2);
    }

    private static RoutingPolicy leastLoaded(RoutingSettings settings) {
        return new RoutingPolicy(settings, new LeastLoadedTargetSelector(), AdmissionOrder.URGENCY_FIRST);
    }

    private static List<SentRequest> peaks(Supplier<RoutingPolicy> policy, RequestOptions options) {
        Location location = VirtualFleet.location("south", "a");
        VirtualFleet fleet = new VirtualFleet(SEED);
        fleet.requestOptions = options;
        for (int i = 0; i < ENGINES; i++) {
            fleet.addEngine("e" + i, location, SLOTS, PROMPT_MS, TOKEN_MS);
        }
        fleet.start(List.of(location, location, location, location), policy);
        SplittableRandom random = new SplittableRandom(SEED);
        double capacityPerMs = ENGINES * SLOTS / RUN_MS;
        List<SentRequest> requests = new ArrayList<>();
        for (int period = 0; period < PERIODS; period++) {
            requests.addAll(load(fleet, random, capacityPerMs * TROUGH_LOAD, PERIOD_MS - PEAK_MS));
            requests.addAll(load(fleet, random, capacityPerMs * PEAK_LOAD, PEAK_MS));
        }
        fleet.run(20_000);
        return requests;
    }

    private static List<SentRequest> load(VirtualFleet fleet, SplittableRandom random, double perMs, long spanMs) {
        List<SentRequest> requests = new ArrayList<>();
        for (long i = 0; i < spanMs; i++) {
            if (random.nextDouble() < perMs) {
                requests.add(fleet.send(
                        random.nextInt(4),
                        Work.online(TOKENS, random.nextLong()).withDeadline(5_000)));
            }
            fleet.run(1);
        }
        return requests;
    }

    private static double inTimeShare(List<SentRequest> requests) {
        return requests.stream()
                        .filter(request -> request.completed() && request.waitMs() <= OBJECTIVE_MS)
                        .count()
                / (double) requests.size();
    }
}
