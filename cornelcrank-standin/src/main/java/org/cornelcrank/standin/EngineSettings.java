package org.cornelcrank.standin;

import java.util.Objects;
import java.util.Set;

/**
 * Settings of the stand-in for a model engine.
 *
 * <p>{@code seed} determines which cache events are lost. Immutable, thus thread-safe.
 */
public record EngineSettings(
        String host,
        int port,
        Capacity capacity,
        EngineTimeModel timeModel,
        Models models,
        Reports reports,
        long seed) {

    public EngineSettings {
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(capacity, "capacity must not be null");
        Objects.requireNonNull(timeModel, "timeModel must not be null");
        Objects.requireNonNull(models, "models must not be null");
        Objects.requireNonNull(reports, "reports must not be null");
    }

    /**
     * The capacity of an engine: concurrent generations, prompt blocks of 64 tokens in its cache (and the same number
     * of named prefixes), and how long a paused generation is retained.
     */
    public record Capacity(int slots, int cachedBlocks, long retainMs) {

        public Capacity {
            if (slots < 1) {
                throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
            }
            if (cachedBlocks < 1) {
                throw new IllegalArgumentException("cachedBlocks must be at least 1 but was " + cachedBlocks);
            }
        }
    }

    /**
     * The models, adapters and versions that an order may load, those loaded at the start and after a crash, the times
     * for loading and for a restart, and whether orders with an old fencing number are rejected.
     */
    public record Models(
            Set<String> available, Set<String> loaded, long loadMs, long restartMs, boolean checksFencing) {

        public Models {
            available = Set.copyOf(available);
            loaded = Set.copyOf(loaded);
        }
    }

    /** The delays of an engine's reports and the share of cache events that are lost. */
    public record Reports(long loadLagMs, long cacheEventLagMs, double cacheEventLossRate) {

        public Reports {
            if (loadLagMs < 0 || cacheEventLagMs < 0) {
                throw new IllegalArgumentException("lags must not be negative");
            }
            if (!(cacheEventLossRate >= 0 && cacheEventLossRate <= 1)) {
                throw new IllegalArgumentException(
                        "cacheEventLossRate must be from 0 to 1 but was " + cacheEventLossRate);
            }
        }
    }

    /** Returns an engine with eight slots and one loaded model on any free port of the loopback address. */
    public static EngineSettings defaults(String model) {
        return new EngineSettings(
                "127.0.0.1",
                0,
                new Capacity(8, 512, 60_000),
                new EngineTimeModel(200, 8_000, 0.03),
                new Models(Set.of(model), Set.of(model), 500, 1_000, true),
                new Reports(250, 200, 0.05),
                1);
    }

    public EngineSettings withPort(int newPort) {
        return new EngineSettings(host, newPort, capacity, timeModel, models, reports, seed);
    }

    public EngineSettings withCapacity(Capacity newCapacity) {
        return new EngineSettings(host, port, newCapacity, timeModel, models, reports, seed);
    }

    public EngineSettings withSlots(int newSlots) {
        return withCapacity(new Capacity(newSlots, capacity.cachedBlocks(), capacity.retainMs()));
    }

    public EngineSettings withTimeModel(EngineTimeModel newTimeModel) {
        return new EngineSettings(host, port, capacity, newTimeModel, models, reports, seed);
    }

    public EngineSettings withModels(Models newModels) {
        return new EngineSettings(host, port, capacity, timeModel, newModels, reports, seed);
    }

    public EngineSettings withReports(Reports newReports) {
        return new EngineSettings(host, port, capacity, timeModel, models, newReports, seed);
    }

    public EngineSettings withSeed(long newSeed) {
        return new EngineSettings(host, port, capacity, timeModel, models, reports, newSeed);
    }
}
