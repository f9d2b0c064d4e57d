package org.cornelcrank.cli.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.cornelcrank.cli.fleet.FleetPlan;
import org.cornelcrank.cli.fleet.LocalFleet;

/**
 * Runs a scenario: each policy without and with the batch backlog, one run after the other, each on a new fleet.
 *
 * <p>Blocks the calling thread. Not thread-safe.
 */
public final class ScenarioRunner {

    private final Scenario scenario;
    private final Consumer<String> progress;

    public ScenarioRunner(Scenario scenario, Consumer<String> progress) {
        this.scenario = Objects.requireNonNull(scenario, "scenario must not be null");
        this.progress = Objects.requireNonNull(progress, "progress must not be null");
    }

    /** Runs all policies and returns one result for each run. */
    public List<RunResult> run() throws IOException {
        ArrivalPlan arrivals = ArrivalPlan.of(scenario);
        List<RunResult> results = new ArrayList<>();
        for (String policy : scenario.policies()) {
            results.add(runOnce(policy, false, arrivals));
            if (scenario.batch() != null) {
                results.add(runOnce(policy, true, arrivals));
            }
        }
        return results;
    }

    private RunResult runOnce(String policy, boolean withBatch, ArrivalPlan arrivals) throws IOException {
        String label = policy + (withBatch ? " with batch" : "");
        progress.accept(label + ": starting the fleet");
        FleetPlan plan = scenario.plan();
        LocalFleet fleet = new LocalFleet(plan, daemonOptions(policy));
        try {
            fleet.start();
            progress.accept(label + ": running for " + scenario.endMs() + " ms");
            return new ScenarioRun(scenario, fleet, arrivals, withBatch).run(policy, label);
        } finally {
            fleet.kill();
        }
    }

    private List<String> daemonOptions(String policy) {
        List<String> options = new ArrayList<>(List.of("--seed", Long.toString(scenario.seed() + 1)));
        if (!policy.equals(Scenario.DEFAULT_POLICY)) {
            options.addAll(List.of("--policy", policy));
        }
        return options;
    }
}
