package org.cornelcrank.cli.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.cornelcrank.cli.client.StreamingClient;

/**
 * Plans every online request of a run beforehand, so that neither slow answers nor a slow generator change the load.
 *
 * <p>Arrivals of a stream are a Poisson process whose rate follows the bursts. Deterministic for a scenario. Immutable,
 * thus thread-safe.
 */
record ArrivalPlan(List<Arrival> arrivals, boolean cutShort) {

    private static final double NS_PER_S = 1e9;
    private static final long NS_PER_MS = 1_000_000;

    ArrivalPlan {
        arrivals = List.copyOf(arrivals);
    }

    /** One request; {@code atNs} counts from the start of the run. */
    record Arrival(long atNs, Scenario.OnlineStream stream, byte[] body, int outputTokens) {}

    static ArrivalPlan of(Scenario scenario) {
        List<Arrival> all = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        for (Scenario.OnlineStream stream : scenario.online()) {
            add(stream, scenario.endMs() * NS_PER_MS, scenario.maxRequests(), seeds.split(), all);
        }
        all.sort(Comparator.comparingLong(Arrival::atNs));
        boolean cutShort = all.size() > scenario.maxRequests();
        return new ArrivalPlan(cutShort ? all.subList(0, scenario.maxRequests()) : all, cutShort);
    }

    private static void add(
            Scenario.OnlineStream stream, long endNs, int most, SplittableRandom random, List<Arrival> all) {
        PromptFactory prompts = new PromptFactory(stream.prompts(), random.split());
        double peakRate = Math.max(
                stream.requestsPerSecond(),
                stream.bursts().stream()
                        .mapToDouble(Scenario.Burst::requestsPerSecond)
                        .max()
                        .orElse(0));
        double atNs = 0;
        for (int count = 0; count <= most; ) {
            atNs += -Math.log(1 - random.nextDouble()) / peakRate * NS_PER_S;
            if (atNs >= endNs) {
                return;
            }
            boolean kept = random.nextDouble() * peakRate < stream.rateAt((long) atNs / NS_PER_MS);
            if (kept) {
                PromptFactory.Prompt prompt = prompts.next();
                byte[] body =
                        StreamingClient.chatBody(stream.model(), prompt.head(), prompt.tail(), prompt.outputTokens());
                all.add(new Arrival((long) atNs, stream, body, prompt.outputTokens()));
                count++;
            }
        }
    }
}
