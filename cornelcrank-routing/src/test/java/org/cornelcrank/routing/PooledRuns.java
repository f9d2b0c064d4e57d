package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** The pooled results of one scenario under one policy, run with several seeds. */
final class PooledRuns {

    private static final long[] SEEDS = {1, 2, 3};
    private static final long SPAN_MS = 120_000;
    private static final long DEADLINE_MS = 10_000;
    private static final double[] BURSTS = {0.3, 0.7};

    final double batchShareOfUnused;
    private final List<PolicyExperiment> runs = new ArrayList<>();

    PooledRuns(PolicyExperiment.Scenario scenario, Supplier<RoutingPolicy> policy, boolean batch) {
        double shares = 0;
        for (long seed : SEEDS) {
            PolicyExperiment run =
                    new PolicyExperiment(scenario, policy, batch, seed, SPAN_MS).runOnline(DEADLINE_MS, BURSTS);
            shares += run.batchShareOfUnused();
            runs.add(run.drain());
        }
        batchShareOfUnused = shares / SEEDS.length;
    }

    /** Returns the wait for the first token in ms at the given quantile, in thousandths. */
    long waitMs(int perMille) {
        long[] waits =
                runs.stream().flatMapToLong(PolicyExperiment::waitsMs).sorted().toArray();
        return waits[Math.min(waits.length - 1, waits.length * perMille / 1_000)];
    }

    double mean(ToDoubleFunction<PolicyExperiment> measure) {
        return runs.stream().mapToDouble(measure).average().orElseThrow();
    }
}
