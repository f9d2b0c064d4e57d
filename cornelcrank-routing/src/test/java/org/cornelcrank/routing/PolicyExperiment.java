package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.LongStream;

import org.cornelcrank.core.Location;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;

/** Runs one scenario under one policy, and measures the result. */
final class PolicyExperiment {

    private static final long PHASE_MS = 10_000;
    private static final long DRAIN_MS = 15_000;
    private static final int MIN_TOKENS = 40;
    private static final int TOKEN_SPREAD = 80;
    private static final long PROMPT_MS = 200;
    private static final long TOKEN_MS = 20;
    private static final int SLOTS = 8;
    private static final double MEAN_SERVICE_MS = PROMPT_MS + TOKEN_MS * (MIN_TOKENS + TOKEN_SPREAD / 2.0);
    private static final int BATCH_TOKENS = 250;
    private static final int CONVERSATIONS = 60;
    private static final int SHARED_PREFIXES = 3;

    final VirtualFleet fleet;
    final List<BatchOwnerModel> owners = new ArrayList<>();
    private final SplittableRandom arrivals;
    private final long spanMs;
    private final long startedAtMs;

    /** Starts the scenario's hosts and, if {@code batch} is set, batch jobs that could fill them. */
    PolicyExperiment(Scenario scenario, Supplier<RoutingPolicy> policy, boolean batch, long seed, long spanMs) {
        this.fleet = new VirtualFleet(seed);
        this.arrivals = new SplittableRandom(seed + 1);
        this.spanMs = spanMs;
        for (int i = 0; i < scenario.targets.size(); i++) {
            fleet.addEngine("r" + i, scenario.targets.get(i), SLOTS, PROMPT_MS, TOKEN_MS);
        }
        fleet.start(scenario.daemons, policy);
        if (batch) {
            long deadlineAtMs = fleet.nowMs + 3_600_000;
            for (int i = 0; i < fleet.nodes.size(); i += 2) {
                VirtualFleet.Node node = fleet.nodes.get(i);
                String team = i % 4 == 0 ? "/nilavu/summaries" : "/tatranske/rollup";
                BatchOwnerModel owner = new BatchOwnerModel(node, "job" + i, team, 20_000, BATCH_TOKENS, deadlineAtMs);
                owners.add(owner);
                owner.start(fleet.nowMs);
            }
            fleet.run(3_000);
        }
        startedAtMs = fleet.nowMs;
        fleet.engines.values().forEach(engine -> engine.resetCounters(fleet.nowMs));
    }

    /** Sends online requests at the given shares of the capacity in turn, and runs for the whole time span. */
    PolicyExperiment runOnline(long deadlineMs, double... loads) {
        double slotsPerMs = fleet.engines.size() * SLOTS / MEAN_SERVICE_MS;
        double atMs = fleet.nowMs;
        while (atMs < startedAtMs + spanMs) {
            double load = loads[(int) ((atMs - startedAtMs) / PHASE_MS) % loads.length];
            atMs += -Math.log(1 - arrivals.nextDouble()) / (load * slotsPerMs);
            scheduleArrival((long) atMs, deadlineMs);
        }
        fleet.run(spanMs);
        return this;
    }

    private void scheduleArrival(long atMs, long deadlineMs) {
        int tokens = MIN_TOKENS + arrivals.nextInt(TOKEN_SPREAD);
        long conversation = arrivals.nextInt(CONVERSATIONS);
        List<Long> prefixes = List.of(conversation % SHARED_PREFIXES, 100 + conversation, 1_000 + conversation);
        int daemon = arrivals.nextInt(fleet.nodes.size());
        Work work = Work.online(tokens, arrivals.nextLong())
                .withDeadline(deadlineMs)
                .withPrefixes(prefixes);
        fleet.at(atMs, () -> fleet.send(daemon, work));
    }

    PolicyExperiment drain() {
        fleet.run(DRAIN_MS);
        return this;
    }

    /** Returns the wait for the first token in ms at the given quantile, in thousandths. */
    long waitMs(int perMille) {
        long[] waits = waitsMs().sorted().toArray();
        return waits[Math.min(waits.length - 1, waits.length * perMille / 1_000)];
    }

    LongStream waitsMs() {
        return fleet.sentRequests.values().stream()
                .filter(request -> request.firstTokenAtMs >= 0)
                .mapToLong(SentRequest::waitMs);
    }

    double completedShare() {
        return (double) fleet.sentRequests.values().stream()
                        .filter(SentRequest::completed)
                        .count()
                / fleet.sentRequests.size();
    }

    /** Returns the number of requests per second that completed in time. */
    double goodputPerSecond() {
        return fleet.sentRequests.values().stream()
                        .filter(SentRequest::completedInTime)
                        .count()
                * 1_000.0
                / spanMs;
    }

    /**
     * Returns the share that batch work used of the slot time that online requests left unused; must be called before
     * draining.
     */
    double batchShareOfUnused() {
        long total = fleet.engines.size() * SLOTS * spanMs;
        long online = 0;
        long batch = 0;
        for (EngineModel engine : fleet.engines.values()) {
            engine.countRunning(fleet.nowMs);
            online += engine.onlineMs;
            batch += engine.batchMs;
        }
        return (double) batch / (total - online);
    }

    double lostTokenShare() {
        long lost = owners.stream().mapToLong(owner -> owner.lostTokens).sum();
        long finished = owners.stream().mapToLong(owner -> owner.finishedTokens).sum();
        return finished == 0 ? 0 : (double) lost / (finished + lost);
    }

    /** Returns the share of the batch work's slot time that was spent on prompts of work that was then preempted. */
    double wastedTimeShare() {
        long wasted = fleet.engines.values().stream()
                .mapToLong(engine -> engine.wastedBatchMs)
                .sum();
        long used = fleet.engines.values().stream()
                .mapToLong(engine -> engine.batchMs)
                .sum();
        return used == 0 ? 0 : (double) wasted / used;
    }

    int batchFinished() {
        return owners.stream().mapToInt(owner -> owner.finished).sum();
    }

    double cacheHitShare() {
        int lookups = fleet.engines.values().stream()
                .mapToInt(engine -> engine.cacheLookups)
                .sum();
        int hits = fleet.engines.values().stream()
                .mapToInt(engine -> engine.cacheHits)
                .sum();
        return (double) hits / lookups;
    }

    long queuedAtEngines() {
        return fleet.nodes.stream().mapToLong(node -> node.queuedAtEngine).sum();
    }

    static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }

    /** The locations of the targets and the daemons of a deployment. */
    record Scenario(String name, List<Location> targets, List<Location> daemons) {

        static Scenario nilavu() {
            Location tvm = VirtualFleet.location("kerala-south", "tvm-a");
            Location kochi = VirtualFleet.location("kerala-south", "kochi-b");
            Location kzd = VirtualFleet.location("kerala-north", "kzd-a");
            return new Scenario(
                    "nilavu",
                    List.of(tvm, tvm, kochi, kochi, kzd, kzd),
                    List.of(tvm, tvm, tvm, tvm, kochi, kochi, kochi, kzd, kzd, kzd));
        }

        static Scenario tatranske() {
            Location bratislava = VirtualFleet.location("zapad", "bratislava-a");
            Location trnava = VirtualFleet.location("zapad", "trnava-a");
            Location kosice = VirtualFleet.location("vychod", "kosice-a");
            List<Location> targets = new ArrayList<>();
            for (int i = 0; i < 13; i++) {
                targets.add(List.of(bratislava, trnava, kosice).get(i % 3));
            }
            List<Location> daemons = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                daemons.add(List.of(bratislava, trnava, kosice).get(i % 3));
            }
            return new Scenario("tatranske", targets, daemons);
        }
    }
}
