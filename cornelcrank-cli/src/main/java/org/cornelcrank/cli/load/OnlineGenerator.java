package org.cornelcrank.cli.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Phaser;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;

import org.cornelcrank.cli.client.StreamingClient;

/**
 * Sends the planned requests at their planned times, regardless of the outcome of earlier ones (open loop).
 *
 * <p>Blocks the calling thread until every request has completed, failed or timed out. Not thread-safe.
 */
final class OnlineGenerator {

    private static final long NS_PER_MS = 1_000_000;

    private final ArrivalPlan plan;
    private final long warmUpNs;
    private final BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients;
    private final Map<String, OnlineMeasurements> measurements = new HashMap<>();

    /** Creates a generator; {@code clients} returns the client for a request, given its number and its stream. */
    OnlineGenerator(
            ArrivalPlan plan, long warmUpMs, BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients) {
        this.plan = plan;
        this.warmUpNs = warmUpMs * NS_PER_MS;
        this.clients = clients;
        plan.arrivals()
                .forEach(arrival ->
                        measurements.computeIfAbsent(arrival.stream().name(), name -> new OnlineMeasurements()));
    }

    /** Runs the plan and returns the measurements of each stream after the warm-up. */
    Map<String, OnlineMeasurements> run(long startNs) {
        Phaser openRequests = new Phaser(1);
        List<ArrivalPlan.Arrival> arrivals = plan.arrivals();
        for (int number = 0; number < arrivals.size(); number++) {
            ArrivalPlan.Arrival arrival = arrivals.get(number);
            waitUntil(startNs + arrival.atNs());
            send(arrival, clients.apply(number, arrival.stream()), startNs, openRequests);
        }
        openRequests.arriveAndAwaitAdvance();
        return measurements;
    }

    private void send(ArrivalPlan.Arrival arrival, StreamingClient client, long startNs, Phaser openRequests) {
        openRequests.register();
        long sendDelayNs = Math.max(0, System.nanoTime() - startNs - arrival.atNs());
        client.send(arrival.body())
                .doFinally(signal -> openRequests.arriveAndDeregister())
                .subscribe(response -> {
                    if (arrival.atNs() >= warmUpNs) {
                        measurements.get(arrival.stream().name()).record(response, arrival.outputTokens(), sendDelayNs);
                    }
                });
    }

    private static void waitUntil(long atNs) {
        long remainingNs = atNs - System.nanoTime();
        while (remainingNs > 0) {
            LockSupport.parkNanos(remainingNs);
            remainingNs = atNs - System.nanoTime();
        }
    }
}
