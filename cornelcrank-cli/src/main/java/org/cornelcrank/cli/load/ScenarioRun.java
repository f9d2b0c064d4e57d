package org.cornelcrank.cli.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiFunction;

import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.client.StreamingClient;
import org.cornelcrank.cli.fleet.LocalFleet;
import org.cornelcrank.standin.EngineCounters;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.StandIn;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * One run of a scenario on a started fleet.
 *
 * <p>Not thread-safe: used once.
 */
final class ScenarioRun {

    private static final long SAMPLE_INTERVAL_MS = 500;
    private static final int MAX_CONNECTIONS = 4_000;

    /** How often and how long apart, in ms, a request is tried before the run: thirty seconds for a fleet to start. */
    private static final int MAX_FIRST_TRIES = 300;

    private static final long FIRST_TRY_PAUSE_MS = 100;
    private static final long NS_PER_MS = 1_000_000;
    private static final double US_PER_MS = 1_000;
    private static final String DIRECT = " direct";

    private final Scenario scenario;
    private final LocalFleet fleet;
    private final ArrivalPlan arrivals;
    private final boolean withBatch;
    private final HttpClient http = HttpClient.create(ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .build());
    private final List<RunResult.Sample> samples = new ArrayList<>();
    private BatchLoad batch;

    ScenarioRun(Scenario scenario, LocalFleet fleet, ArrivalPlan arrivals, boolean withBatch) {
        this.scenario = Objects.requireNonNull(scenario, "scenario must not be null");
        this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
        this.arrivals = Objects.requireNonNull(arrivals, "arrivals must not be null");
        this.withBatch = withBatch;
    }

    RunResult run(String policy, String label) throws IOException {
        awaitServed();
        if (withBatch) {
            String key = fleet.bearer(scenario.batch().key());
            batch = new BatchLoad(
                    scenario, new DaemonClient(fleet.entryHosts().get(0).url(), key));
            batch.submit();
        }
        long startNs = System.nanoTime();
        ExecutorService side = Executors.newFixedThreadPool(3);
        try {
            Future<Window> window = side.submit(() -> watch(startNs));
            Future<Boolean> faults = side.submit(() -> switchFaults(startNs));
            Future<Map<String, OnlineMeasurements>> direct = side.submit(() -> runDirect(startNs));
            Map<String, OnlineMeasurements> seen =
                    new TreeMap<>(new OnlineGenerator(arrivals, scenario.warmUpMs(), routedClients()).run(startNs));
            result(direct).forEach((stream, measured) -> seen.put(stream + DIRECT, measured));
            result(faults);
            return summary(policy, label, result(window), seen);
        } finally {
            side.shutdownNow();
        }
    }

    /** Waits until each stream has got an answer: a daemon that is ready may not know its targets yet. */
    private void awaitServed() {
        BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients = routedClients();
        for (Scenario.OnlineStream stream : scenario.online()) {
            arrivals.arrivals().stream()
                    .filter(arrival -> arrival.stream().equals(stream))
                    .findFirst()
                    .ifPresent(arrival -> awaitServed(clients.apply(0, stream), arrival.body()));
        }
    }

    private static void awaitServed(StreamingClient client, byte[] body) {
        for (int tries = 1; !client.send(body).block().complete(); tries++) {
            if (tries == MAX_FIRST_TRIES) {
                throw new IllegalStateException("the fleet must answer one of " + tries + " first requests");
            }
            sleepUntil(System.nanoTime(), FIRST_TRY_PAUSE_MS);
        }
    }

    /** What was counted over the measured part of the run. */
    private record Window(
            EngineCounters engines, BatchLoad.Progress before, BatchLoad.Progress after, Map<String, Long> linkBytes) {}

    private Window watch(long startNs) {
        sleepUntil(startNs, scenario.warmUpMs());
        EngineCounters enginesBefore = engines();
        Map<String, Long> linkBefore = linkBytes();
        BatchLoad.Progress batchBefore = batchProgress();
        sampleUntilEnd(startNs, enginesBefore, batchBefore);
        EngineCounters enginesAfter = engines();
        BatchLoad.Progress batchAfter = batchProgress();
        Map<String, Long> linkBytes = new TreeMap<>(linkBytes());
        linkBefore.forEach((purpose, bytes) -> linkBytes.merge(purpose, -bytes, Long::sum));
        return new Window(enginesAfter.since(enginesBefore), batchBefore, batchAfter, linkBytes);
    }

    private void sampleUntilEnd(long startNs, EngineCounters before, BatchLoad.Progress batchBefore) {
        EngineCounters last = before;
        long lastMs = scenario.warmUpMs();
        for (long atMs = lastMs + SAMPLE_INTERVAL_MS; atMs < scenario.endMs(); atMs += SAMPLE_INTERVAL_MS) {
            sleepUntil(startNs, atMs);
            EngineCounters present = engines();
            long nowMs = (System.nanoTime() - startNs) / NS_PER_MS;
            double busySlots = (double) present.since(last).busySlotMs() / Math.max(1, nowMs - lastMs);
            long items = withBatch ? batchProgress().completed() - batchBefore.completed() : 0;
            samples.add(new RunResult.Sample(nowMs, busySlots, items));
            last = present;
            lastMs = nowMs;
        }
        sleepUntil(startNs, scenario.endMs());
    }

    private boolean switchFaults(long startNs) {
        for (Scenario.TimedFault fault : scenario.faults()) {
            sleepUntil(startNs, fault.atMs());
            StandIn standIn = fleet.standIn(fault.standIn());
            new DaemonClient(standIn.url(), "").post("/faults", fault.faults(), Map.of());
        }
        return true;
    }

    private Map<String, OnlineMeasurements> runDirect(long startNs) {
        if (!scenario.directComparison()) {
            return Map.of();
        }
        List<StreamingClient> engines = fleet.engines().stream()
                .map(engine -> new StreamingClient(http, engine.url(), "", ""))
                .toList();
        return new OnlineGenerator(
                        arrivals, scenario.warmUpMs(), (number, stream) -> engines.get(number % engines.size()))
                .run(startNs);
    }

    private BiFunction<Integer, Scenario.OnlineStream, StreamingClient> routedClients() {
        Map<String, List<StreamingClient>> byStream = new TreeMap<>();
        for (Scenario.OnlineStream stream : scenario.online()) {
            byStream.put(
                    stream.name(),
                    fleet.entryHosts().stream()
                            .map(host -> new StreamingClient(
                                    http, host.url(), fleet.bearer(stream.key()), stream.workload()))
                            .toList());
        }
        return (number, stream) -> {
            List<StreamingClient> clients = byStream.get(stream.name());
            return clients.get(number % clients.size());
        };
    }

    private RunResult summary(String policy, String label, Window window, Map<String, OnlineMeasurements> seen) {
        List<RunResult.StreamResult> streams = new ArrayList<>();
        seen.forEach((stream, measured) -> streams.add(new RunResult.StreamResult(
                stream,
                measured.complete(),
                measured.failures(),
                measured.tokens(),
                LatencySummary.of(measured.firstTokenUs()),
                LatencySummary.of(measured.betweenTokensUs()),
                LatencySummary.of(measured.totalUs()),
                measured.latestSendUs() / US_PER_MS)));
        RunResult.BatchResult batchResult = new RunResult.BatchResult(
                window.after().completed() - window.before().completed(),
                window.after().failed() - window.before().failed(),
                withBatch && window.after().ended());
        int slots = fleet.plan().engines().stream()
                .mapToInt(group -> group.count() * group.slots())
                .sum();
        return new RunResult(
                policy,
                label,
                withBatch,
                scenario.durationMs(),
                streams,
                batchResult,
                slots,
                window.engines(),
                window.linkBytes(),
                samples);
    }

    private BatchLoad.Progress batchProgress() {
        return withBatch ? batch.progress() : new BatchLoad.Progress(0, 0, 0);
    }

    private EngineCounters engines() {
        return fleet.engines().stream().map(EngineStandIn::counters).reduce(EngineCounters.ZERO, EngineCounters::plus);
    }

    private Map<String, Long> linkBytes() {
        return new LinkBytes(fleet.entryHosts().stream().map(fleet::operator).toList()).read();
    }

    private static <T> T result(Future<T> future) {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof CommandFailure failure
                    ? failure
                    : new CommandFailure(ExitCode.FAILED, "the run failed: " + e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure(ExitCode.FAILED, "interrupted");
        }
    }

    private static void sleepUntil(long startNs, long atMs) {
        long leftMs = atMs - (System.nanoTime() - startNs) / NS_PER_MS;
        if (leftMs <= 0) {
            return;
        }
        try {
            Thread.sleep(leftMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure(ExitCode.FAILED, "interrupted");
        }
    }
}
