package org.cornelcrank.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.cornelcrank.routing.PolicyExperiment.Scenario;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares the policies with the baselines in one run, in both deployments' scenarios, with and without batch work. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PolicyComparisonTests {

    private static final String DEFAULT = "prefix-affinity";

    private final Map<String, PooledRuns> withoutBatch = new LinkedHashMap<>();
    private final Map<String, PooledRuns> withBatch = new LinkedHashMap<>();

    @BeforeAll
    void runAll() {
        System.out.println(
                "| scenario | policy | p50 alone ms | p50 with batch | p99 alone ms | p99 with batch "
                        + "| batch share of rest | items | lost tokens | lost time | cache hits | queued at engines | answered |");
        for (Scenario scenario : new Scenario[] {Scenario.nilavu(), Scenario.tatranske()}) {
            policies().forEach((name, policy) -> {
                PooledRuns without = new PooledRuns(scenario, policy, false);
                PooledRuns with = new PooledRuns(scenario, policy, true);
                withoutBatch.put(scenario.name() + " " + name, without);
                withBatch.put(scenario.name() + " " + name, with);
                print(scenario.name() + " | " + name, without, with);
            });
        }
    }

    private static void print(String label, PooledRuns without, PooledRuns with) {
        System.out.println(PolicyExperiment.format(
                "| %s | %d | %d | %d | %d | %.3f | %.0f | %.4f | %.4f | %.3f | %.0f | %.4f |",
                label,
                without.waitMs(500),
                with.waitMs(500),
                without.waitMs(990),
                with.waitMs(990),
                with.batchShareOfUnused,
                with.mean(PolicyExperiment::batchFinished),
                with.mean(PolicyExperiment::lostTokenShare),
                with.mean(PolicyExperiment::wastedTimeShare),
                without.mean(PolicyExperiment::cacheHitShare),
                with.mean(PolicyExperiment::queuedAtEngines),
                with.mean(PolicyExperiment::completedShare)));
    }

    @AfterAll
    void clear() {
        withoutBatch.clear();
        withBatch.clear();
    }

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske"})
    void batchWorkDoesNotDelayOnlineRequests(String scenario) {
        PooledRuns without = withoutBatch.get(scenario + " " + DEFAULT);
        PooledRuns with = withBatch.get(scenario + " " + DEFAULT);
        assertThat((double) with.waitMs(990) / without.waitMs(990))
                .as("p99 ratio")
                .isLessThanOrEqualTo(1.10);
        assertThat((double) with.waitMs(500) / without.waitMs(500))
                .as("p50 ratio")
                .isLessThanOrEqualTo(1.02);
    }

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske"})
    void batchWorkUsesTheCapacityLeftByOnlineRequests(String scenario) {
        assertThat(withBatch.get(scenario + " " + DEFAULT).batchShareOfUnused).isGreaterThanOrEqualTo(0.9);
    }

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske"})
    void preemptionWastesFewBatchTokens(String scenario) {
        assertThat(withBatch.get(scenario + " " + DEFAULT).mean(PolicyExperiment::lostTokenShare))
                .isLessThan(0.03);
    }

    @ParameterizedTest
    @ValueSource(strings = {"nilavu", "tatranske"})
    void prefixAffinityIncreasesCacheHits(String scenario) {
        double hits = withoutBatch.get(scenario + " " + DEFAULT).mean(PolicyExperiment::cacheHitShare);
        double withoutAffinity = withoutBatch.get(scenario + " power-of-two").mean(PolicyExperiment::cacheHitShare);
        assertThat(hits / withoutAffinity).isGreaterThanOrEqualTo(1.3);
    }

    private static Map<String, Supplier<RoutingPolicy>> policies() {
        Map<String, Supplier<RoutingPolicy>> policies = new LinkedHashMap<>();
        policies.put(DEFAULT, RoutingPolicy::defaults);
        policies.put("least-loaded", () -> policy(new LeastLoadedTargetSelector(), AdmissionOrder.URGENCY_FIRST));
        policies.put("power-of-two", () -> policy(new PowerOfTwoTargetSelector(), AdmissionOrder.URGENCY_FIRST));
        policies.put("round-robin", () -> policy(new RoundRobinTargetSelector(), AdmissionOrder.ARRIVAL));
        policies.put("lagging-least", () -> policy(new LaggingLeastLoadTargetSelector(), AdmissionOrder.ARRIVAL));
        return policies;
    }

    private static RoutingPolicy policy(TargetSelector selector, AdmissionOrder admission) {
        return new RoutingPolicy(RoutingSettings.defaults(), selector, admission);
    }
}
