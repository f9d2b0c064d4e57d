package org.cornelcrank.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The state of an engine without its HTTP server: slots, cache, retained generations and loaded models.
 *
 * <p>The current time is passed as an argument, in microseconds (us). Not thread-safe: confined to the engine's worker.
 */
final class EngineState {

    private static final long US_PER_MS = 1000;

    private final EngineSettings settings;
    private final ContinuousBatch batch;
    private final PrefixCache blocks;
    private final PrefixCache namedPrefixes;
    private final CacheEventLog cacheEvents;
    private final LoadHistory loadHistory;
    private final Map<String, RetainedGeneration> retained = new LinkedHashMap<>();
    private final Map<String, Long> loadingUntilUs = new HashMap<>();
    private Set<String> loaded;
    private String role = "mixed";
    private long fencingNumber;
    private double slowFactor = 1.0;
    private boolean crashed;
    private long nowUs;
    private long started;
    private long promptTokens;
    private long cachedPromptTokens;
    private long paused;
    private long discardedTokens;
    private long crashes;

    EngineState(EngineSettings settings, long nowUs) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.nowUs = nowUs;
        this.batch = new ContinuousBatch(settings.capacity().slots(), this::start, this::outputTokenUs);
        this.blocks = new PrefixCache(settings.capacity().cachedBlocks());
        this.namedPrefixes = new PrefixCache(settings.capacity().cachedBlocks());
        EngineSettings.Reports reports = settings.reports();
        this.cacheEvents = new CacheEventLog(
                reports.cacheEventLagMs(), reports.cacheEventLossRate(), new SplittableRandom(settings.seed()));
        this.loadHistory = new LoadHistory(reports.loadLagMs(), nowUs / US_PER_MS);
        this.loaded = new TreeSet<>(settings.models().loaded());
    }

    /** The result of an order. */
    enum OrderResult {
        DONE,
        OLD_FENCING_NUMBER,
        UNKNOWN_MODEL
    }

    /** A generation that can be resumed, and the time until which it is retained. */
    private record RetainedGeneration(Generation generation, long untilUs) {}

    boolean serves(String model) {
        return loaded.stream().anyMatch(name -> name.equals(model) || name.startsWith(model + "@"));
    }

    /** Starts a generation, or queues it until a slot is free. */
    Generation submit(CompletionRequest request, boolean crashesEngine, Generation.Listener listener, long atUs) {
        nowUs = atUs;
        Generation generation = new Generation(request, crashesEngine, listener);
        if (request.resumeKey() != null) {
            discardByKey(request.resumeKey(), atUs);
            retained.put(request.resumeKey(), new RetainedGeneration(generation, Long.MAX_VALUE));
        }
        batch.submit(generation, atUs);
        recordLoad();
        return generation;
    }

    /** Resumes a retained generation; returns null if there is none or it is shorter than the resume position. */
    Generation resume(CompletionRequest request, Generation.Listener listener, long atUs) {
        nowUs = atUs;
        RetainedGeneration found = retained.get(request.resumeKey());
        if (found == null
                || found.untilUs() < atUs
                || request.resumeFrom() > found.generation().generated()) {
            return null;
        }
        Generation generation = found.generation();
        retained.put(request.resumeKey(), new RetainedGeneration(generation, Long.MAX_VALUE));
        generation.attach(listener, request.resumeFrom());
        if (!generation.finished() && !batch.contains(generation)) {
            batch.submit(generation, atUs);
        }
        recordLoad();
        return generation;
    }

    /** Handles the disconnect of a caller: pauses a generation with a resume key, and discards any other. */
    void callerDisconnected(Generation generation, Generation.Listener listener, long atUs) {
        if (generation.listener() != listener) {
            return;
        }
        nowUs = atUs;
        batch.remove(generation, atUs);
        String key = generation.request().resumeKey();
        if (key != null && retained.containsKey(key)) {
            paused += generation.finished() ? 0 : 1;
            retained.put(
                    key,
                    new RetainedGeneration(
                            generation, atUs + settings.capacity().retainMs() * US_PER_MS));
        } else {
            countDiscardedTokens(generation);
        }
        recordLoad();
    }

    /** Stops and discards a generation. */
    void discardByKey(String resumeKey, long atUs) {
        nowUs = atUs;
        RetainedGeneration found = retained.remove(resumeKey);
        if (found != null) {
            batch.remove(found.generation(), atUs);
            countDiscardedTokens(found.generation());
            recordLoad();
        }
    }

    void advance(long atUs) {
        nowUs = atUs;
        batch.advance(atUs);
        loadingUntilUs.entrySet().removeIf(entry -> entry.getValue() <= atUs && loaded.add(entry.getKey()));
        discardExpired(atUs);
        recordLoad();
    }

    /** Returns the time at which the next token is due, empty while nothing runs. */
    OptionalLong nextDueUs() {
        return batch.nextDueUs();
    }

    /** Loads and unloads models as ordered; loading takes the configured time. */
    OrderResult order(String newRole, Set<String> requested, long number, long atUs) {
        nowUs = atUs;
        if (settings.models().checksFencing() && number < fencingNumber) {
            return OrderResult.OLD_FENCING_NUMBER;
        }
        if (!settings.models().available().containsAll(requested)) {
            return OrderResult.UNKNOWN_MODEL;
        }
        fencingNumber = Math.max(fencingNumber, number);
        role = newRole;
        loaded.retainAll(requested);
        loadingUntilUs.keySet().retainAll(requested);
        for (String name : requested) {
            if (!loaded.contains(name)) {
                loadingUntilUs.putIfAbsent(name, atUs + settings.models().loadMs() * US_PER_MS);
            }
        }
        return OrderResult.DONE;
    }

    Map<String, Object> loadReport(boolean leaving, long atUs) {
        advance(atUs);
        LoadHistory.Sample sample = loadHistory.report(atUs / US_PER_MS);
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("measuredAtMs", sample.measuredAtMs());
        report.put("slots", settings.capacity().slots());
        report.put("running", sample.running());
        report.put("queued", sample.queued());
        report.put("loaded", new ArrayList<>(loaded));
        report.put("leaving", leaving);
        report.put("fencingNumber", fencingNumber);
        report.put("role", role);
        return report;
    }

    CacheEventLog.Page cacheEventsAfter(long sequence, long atUs) {
        return cacheEvents.readAfter(sequence, atUs / US_PER_MS);
    }

    EngineCounters counters(long atUs) {
        return new EngineCounters(
                started,
                batch.generatedTokens(),
                batch.busySlotMs(atUs),
                promptTokens,
                cachedPromptTokens,
                paused,
                discardedTokens,
                crashes);
    }

    void setSlowFactor(double newSlowFactor) {
        slowFactor = newSlowFactor;
    }

    /** Returns whether a request has crashed the engine since the previous call. */
    boolean pollCrashed() {
        boolean wasCrashed = crashed;
        crashed = false;
        return wasCrashed;
    }

    /** Resets the state that a crashed process loses; the fencing number is kept. */
    void reset(long atUs) {
        nowUs = atUs;
        crashes++;
        retained.values().forEach(entry -> countDiscardedTokens(entry.generation()));
        batch.clear(atUs).stream()
                .filter(generation -> generation.request().resumeKey() == null)
                .forEach(this::countDiscardedTokens);
        retained.clear();
        blocks.clear();
        namedPrefixes.clear();
        loadingUntilUs.clear();
        loaded = new TreeSet<>(settings.models().loaded());
        recordLoad();
    }

    private void discardExpired(long atUs) {
        retained.values().removeIf(entry -> {
            boolean expired = entry.untilUs() < atUs;
            if (expired) {
                countDiscardedTokens(entry.generation());
            }
            return expired;
        });
    }

    private void countDiscardedTokens(Generation generation) {
        discardedTokens += generation.finished() ? 0 : generation.generated();
    }

    private long start(Generation generation) {
        if (generation.crashesEngine()) {
            crashed = true;
        }
        if (generation.prefilled()) {
            return 0;
        }
        started++;
        CompletionRequest request = generation.request();
        generation.started(useNamedPrefixes(request.prefixHashes()));
        int cachedTokens = blocks.use(PromptBlocks.of(request.prompt())).hits() * PromptBlocks.TOKENS_PER_BLOCK;
        promptTokens += request.promptTokens();
        cachedPromptTokens += cachedTokens;
        int uncachedTokens = Math.max(1, request.promptTokens() - cachedTokens);
        return settings.timeModel().prefillUs(uncachedTokens, slowFactor);
    }

    private int useNamedPrefixes(List<Long> prefixes) {
        PrefixCache.Use use = namedPrefixes.use(prefixes);
        use.added().forEach(prefix -> cacheEvents.add(prefix, true, nowUs / US_PER_MS));
        use.evicted().forEach(prefix -> cacheEvents.add(prefix, false, nowUs / US_PER_MS));
        return use.hits();
    }

    private long outputTokenUs(int running) {
        return Math.max(1, settings.timeModel().outputTokenUs(running, slowFactor));
    }

    private void recordLoad() {
        loadHistory.record(batch.runningCount(), batch.queuedCount(), nowUs / US_PER_MS);
    }
}
