package org.cornelcrank.cli.load;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the planning of arrivals. */
class ArrivalPlanTests {

    private static final Scenario.Prompts PROMPTS = new Scenario.Prompts(2, 100, 20, 4, 8);

    @Test
    void sameSeedPlansTheSameRequests() {
        List<Long> first = times(ArrivalPlan.of(scenario(7, 10_000, List.of())));
        assertThat(times(ArrivalPlan.of(scenario(7, 10_000, List.of())))).isEqualTo(first);
        assertThat(times(ArrivalPlan.of(scenario(8, 10_000, List.of())))).isNotEqualTo(first);
    }

    @Test
    void burstRaisesTheRateOnlyWhileItLasts() {
        ArrivalPlan plan = ArrivalPlan.of(scenario(7, 100_000, List.of(new Scenario.Burst(10_000, 10_000, 400))));
        assertThat(countBetween(plan, 0, 10_000)).isBetween(400L, 600L);
        assertThat(countBetween(plan, 10_000, 20_000)).isBetween(3_700L, 4_300L);
        assertThat(countBetween(plan, 20_000, 30_000)).isBetween(400L, 600L);
    }

    @Test
    void planIsTruncatedAtTheMaximumNumberOfRequests() {
        ArrivalPlan plan = ArrivalPlan.of(scenario(7, 100, List.of()));
        assertThat(plan.arrivals()).hasSize(100);
        assertThat(plan.truncated()).isTrue();
    }

    private static Scenario scenario(long seed, int maxRequests, List<Scenario.Burst> bursts) {
        Scenario.OnlineStream stream =
                new Scenario.OnlineStream("kiosk", "k", "kiosk", "saarthi-lm", 50, bursts, PROMPTS);
        return new Scenario(
                "test", seed, "nilavu", null, null, false, 0, 30_000, maxRequests, List.of(stream), null, null);
    }

    private static List<Long> times(ArrivalPlan plan) {
        return plan.arrivals().stream().map(ArrivalPlan.Arrival::atNs).toList();
    }

    private static long countBetween(ArrivalPlan plan, long fromMs, long toMs) {
        return plan.arrivals().stream()
                .filter(arrival -> arrival.atNs() >= fromMs * 1_000_000 && arrival.atNs() < toMs * 1_000_000)
                .count();
    }
}
