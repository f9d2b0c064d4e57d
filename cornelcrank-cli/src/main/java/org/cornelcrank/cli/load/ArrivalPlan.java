package org.cornelcrank.cli.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.cornelcrank.cli.client.StreamingClient;

/**
 * The online requests of a run, planned in advance so that neither slow responses nor a slow generator change the load.
 *
 * <p>The arrivals of a stream are a Poisson process whose rate follows the bursts. {@code truncated} is true if the
 * plan reached the maximum number of requests. Deterministic for a scenario. Immutable, thus thread-safe.
 */
record ArrivalPlan(List<Arrival> arrivals, boolean truncated) {

    private static final double NS_PER_S = 1e9;
    private static final long NS_PER_MS = 1_000_000;

    ArrivalPlan {
        arrivals = List.copyOf(arrivals);
    }

    /** A planned request; {@code atNs} is relative to the start of the run. */
    record Arrival(long atNs, Scenario.OnlineStream stream, byte[] body, int outputTokens) {}

    static ArrivalPlan of(Scenario scenario) {
        List<Arrival> all = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        for (Scenario.OnlineStream stream : scenario.online()) {
            add(stream, scenario.endMs() * NS_PER_MS, scenario.maxRequests(), seeds.split(), all);
        }
        all.sort(Comparator.comparingLong(Arrival::atNs));
        boolean truncated = all.size() > scenario.maxRequests();
        return new ArrivalPlan(truncated ? all.subList(0, scenario.maxRequests()) : all, truncated);
    }

    private static void add(
            Scenario.OnlineStream stream, long endNs, int maxArrivals, SplittableRandom random, List<Arrival> all) {
        PromptFactory prompts = new PromptFactory(stream.prompts(), random.split());
        double peakRate = Math.max(
                stream.requestsPerSecond(),
                stream.bursts().stream()
                        .mapToDouble(Scenario.Burst::requestsPerSecond)
                        .max()
                        .orElse(0));
        double atNs = 0;
        for (int count = 0; count <= maxArrivals; ) {
            atNs += -Math.log(1 - random.nextDouble()) / peakRate * NS_PER_S;
            if (atNs >= endNs) {
                return;
            }
            // Thinning: candidates arrive at the peak rate and are accepted in proportion to the current rate.
            boolean accepted = random.nextDouble() * peakRate < stream.rateAt((long) atNs / NS_PER_MS);
            if (accepted) {
                PromptFactory.Prompt prompt = prompts.next();
                byte[] body =
                        StreamingClient.chatBody(stream.model(), prompt.head(), prompt.tail(), prompt.outputTokens());
                all.add(new Arrival((long) atNs, stream, body, prompt.outputTokens()));
                count++;
            }
        }
    }
}
