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
 * A single run of a scenario on a started fleet.
 *
 * <p>Not thread-safe, and used only once.
 */
final class ScenarioRun {

    private static final long SAMPLE_INTERVAL_MS = 500;
    private static final int MAX_CONNECTIONS = 4_000;

    /** Number of probe requests sent to each stream before the run, which allows a fleet 30 s to start. */
    private static final int MAX_PROBES = 300;

    private static final long PROBE_INTERVAL_MS = 100;
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
        awaitResponses();
        if (withBatch) {
            String key = fleet.bearer(scenario.batch().key());
            batch = new BatchLoad(
                    scenario, new DaemonClient(fleet.entryHosts().get(0).url(), key));
            batch.submit();
        }
        long startNs = System.nanoTime();
        ExecutorService executor = Executors.newFixedThreadPool(3);
        try {
            Future<Window> window = executor.submit(() -> measure(startNs));
            Future<Boolean> faults = executor.submit(() -> applyFaults(startNs));
            Future<Map<String, OnlineMeasurements>> direct = executor.submit(() -> runDirect(startNs));
            Map<String, OnlineMeasurements> measurements =
                    new TreeMap<>(new OnlineGenerator(arrivals, scenario.warmUpMs(), routedClients()).run(startNs));
            resultOf(direct).forEach((stream, measured) -> measurements.put(stream + DIRECT, measured));
            resultOf(faults);
            return createResult(policy, label, resultOf(window), measurements);
        } finally {
            executor.shutdownNow();
        }
    }

    /**
     * Waits for a complete response to each stream, since a daemon that is ready may not have discovered its targets
     * yet.
     */
    private void awaitResponses() {
        BiFunction<Integer, Scenario.OnlineStream, StreamingClient> clients = routedClients();
        for (Scenario.OnlineStream stream : scenario.online()) {
            arrivals.arrivals().stream()
                    .filter(arrival -> arrival.stream().equals(stream))
                    .findFirst()
                    .ifPresent(arrival -> awaitResponses(clients.apply(0, stream), arrival.body()));
        }
    }

    private static void awaitResponses(StreamingClient client, byte[] body) {
        for (int probes = 1; !client.send(body).block().complete(); probes++) {
            if (probes == MAX_PROBES) {
                throw new IllegalStateException("expected a complete response to one of " + probes + " probe requests");
            }
            sleepUntil(System.nanoTime(), PROBE_INTERVAL_MS);
        }
    }

    /** Counters over the measured part of the run. */
    private record Window(
            EngineCounters engines, BatchLoad.Progress before, BatchLoad.Progress after, Map<String, Long> linkBytes) {}

    private Window measure(long startNs) {
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
            EngineCounters current = engines();
            long nowMs = (System.nanoTime() - startNs) / NS_PER_MS;
            double busySlots = (double) current.since(last).busySlotMs() / Math.max(1, nowMs - lastMs);
            long items = withBatch ? batchProgress().completed() - batchBefore.completed() : 0;
            samples.add(new RunResult.Sample(nowMs, busySlots, items));
            last = current;
            lastMs = nowMs;
        }
        sleepUntil(startNs, scenario.endMs());
    }

    private boolean applyFaults(long startNs) {
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

    private RunResult createResult(
            String policy, String label, Window window, Map<String, OnlineMeasurements> measurements) {
        List<RunResult.StreamResult> streams = new ArrayList<>();
        measurements.forEach((stream, measured) -> streams.add(new RunResult.StreamResult(
                stream,
                measured.complete(),
                measured.failures(),
                measured.tokens(),
                LatencySummary.of(measured.firstTokenUs()),
                LatencySummary.of(measured.betweenTokensUs()),
                LatencySummary.of(measured.totalUs()),
                measured.maxSendDelayUs() / US_PER_MS)));
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

    private static <T> T resultOf(Future<T> future) {
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
        long remainingMs = atMs - (System.nanoTime() - startNs) / NS_PER_MS;
        if (remainingMs <= 0) {
            return;
        }
        try {
            Thread.sleep(remainingMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure(ExitCode.FAILED, "interrupted");
        }
    }
}
