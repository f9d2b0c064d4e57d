package org.cornelcrank.cli.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Phaser;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;

import org.cornelcrank.cli.client.StreamingClient;

/**
 * Sends the planned requests at their times, whatever becomes of the earlier ones.
 *
 * <p>Blocks the calling thread until every answer has come or its timeout has passed. Not thread-safe.
 */
final class OnlineGenerator {

    private static final long NS_PER_MS = 1_000_000;

    private final ArrivalPlan plan;
    private final long warmUpNs;
    private final BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients;
    private final Map<String, OnlineMeasurements> measurements = new HashMap<>();

    /** Creates a generator; {@code clients} gives the client for the n-th request of a stream. */
    OnlineGenerator(
            ArrivalPlan plan, long warmUpMs, BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients) {
        this.plan = plan;
        this.warmUpNs = warmUpMs * NS_PER_MS;
        this.clients = clients;
        plan.arrivals()
                .forEach(arrival ->
                        measurements.computeIfAbsent(arrival.stream().name(), name -> new OnlineMeasurements()));
    }

    /** Runs the plan from its start, and returns what the callers of each stream saw after the warm-up. */
    Map<String, OnlineMeasurements> run(long startNs) {
        Phaser open = new Phaser(1);
        List<ArrivalPlan.Arrival> arrivals = plan.arrivals();
        for (int number = 0; number < arrivals.size(); number++) {
            ArrivalPlan.Arrival arrival = arrivals.get(number);
            waitUntil(startNs + arrival.atNs());
            send(arrival, clients.apply(number, arrival.stream()), startNs, open);
        }
        open.arriveAndAwaitAdvance();
        return measurements;
    }

    private void send(ArrivalPlan.Arrival arrival, StreamingClient client, long startNs, Phaser open) {
        open.register();
        long lateNs = Math.max(0, System.nanoTime() - startNs - arrival.atNs());
        client.send(arrival.body())
                .doFinally(signal -> open.arriveAndDeregister())
                .subscribe(answer -> {
                    if (arrival.atNs() >= warmUpNs) {
                        measurements.get(arrival.stream().name()).record(answer, arrival.outputTokens(), lateNs);
                    }
                });
    }

    private static void waitUntil(long atNs) {
        long leftNs = atNs - System.nanoTime();
        while (leftNs > 0) {
            LockSupport.parkNanos(leftNs);
            leftNs = atNs - System.nanoTime();
        }
    }
}
