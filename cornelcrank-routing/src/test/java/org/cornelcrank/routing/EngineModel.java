package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Urgency;

/**
 * Models the timing of an engine: a fixed number of slots, first in first out, with a fixed time for the prompt and for
 * each token.
 *
 * <p>A prefix found in the cache saves its share of the prompt's time; a resumed generation saves all of it.
 */
final class EngineModel {

    private static final int CACHED_PREFIXES = 24;

    final TargetId id;
    final int slots;
    final long promptMs;
    final long tokenMs;
    final Map<AttemptId, Job> running = new LinkedHashMap<>();
    final Deque<Job> queue = new ArrayDeque<>();
    final List<Long> arrivalsAtMs = new ArrayList<>();
    OptionalDouble maxRequestsPerSecond = OptionalDouble.empty();
    final Map<String, Integer> keptTokens = new HashMap<>();
    private final Set<Long> cache = new LinkedHashSet<>();
    long onlineMs;
    long batchMs;
    long wastedBatchMs;
    int cacheHits;
    int cacheLookups;
    boolean up = true;
    long silentUntilMs;

    /** Whether the engine refuses further requests as not run. */
    boolean refuses;

    EngineModel(String id, int slots, long promptMs, long tokenMs) {
        this.id = new TargetId(id);
        this.slots = slots;
        this.promptMs = promptMs;
        this.tokenMs = tokenMs;
    }

    /** Returns whether a job can start at once; otherwise it waits in the engine's queue. */
    boolean hasFreeSlot() {
        return running.size() < slots;
    }

    /** Starts a job; its first token follows the prompt, and then come the others one by one. */
    void start(Job job, long nowMs) {
        job.startedAtMs = nowMs;
        job.countedFromMs = nowMs;
        job.promptMs = job.resumedFrom > 0 ? 0 : promptMs * (100 - cachedPercent(job.work.prefixes())) / 100;
        running.put(job.attempt, job);
    }

    private long cachedPercent(List<Long> prefixes) {
        if (prefixes.isEmpty()) {
            return 0;
        }
        int cached = 0;
        for (long prefix : prefixes) {
            cached += cache.contains(prefix) ? 1 : 0;
            cache.remove(prefix);
            cache.add(prefix);
        }
        while (cache.size() > CACHED_PREFIXES) {
            cache.remove(cache.iterator().next());
        }
        cacheLookups += prefixes.size();
        cacheHits += cached;
        return 80L * cached / prefixes.size();
    }

    /** Stops a job; returns how many tokens it has generated, and keeps them under its resume key. */
    int stop(Job job, long nowMs) {
        running.remove(job.attempt);
        queue.remove(job);
        if (job.startedAtMs < 0) {
            return 0;
        }
        if (job.work.urgency() == Urgency.BATCH) {
            wastedBatchMs += Math.min(nowMs - job.startedAtMs, job.promptMs);
        }
        int tokens = generatedTokens(job, nowMs);
        countOccupied(job, nowMs);
        job.resume.ifPresent(point -> keptTokens.put(point.key(), job.resumedFrom + tokens));
        return tokens;
    }

    /** Returns how many tokens a job has generated so far. */
    int generatedTokens(Job job, long nowMs) {
        if (job.startedAtMs < 0) {
            return 0;
        }
        long generated = Math.max(0, nowMs - job.startedAtMs - job.promptMs) / tokenMs;
        return (int) Math.min(generated, job.work.tokens() - job.resumedFrom);
    }

    /** Counts the slot time of the running jobs up to now. */
    void countRunning(long nowMs) {
        running.values().forEach(job -> countOccupied(job, nowMs));
    }

    void resetCounters(long nowMs) {
        countRunning(nowMs);
        onlineMs = 0;
        batchMs = 0;
        wastedBatchMs = 0;
        cacheHits = 0;
        cacheLookups = 0;
    }

    /** Counts the time for which a job has occupied a slot since the last count. */
    void countOccupied(Job job, long nowMs) {
        if (job.work.urgency() == Urgency.BATCH) {
            batchMs += nowMs - job.countedFromMs;
        } else {
            onlineMs += nowMs - job.countedFromMs;
        }
        job.countedFromMs = nowMs;
    }

    /** One attempt on the engine. */
    static final class Job {

        final AttemptId attempt;
        final VirtualFleet.Work work;
        final Optional<ResumePoint> resume;
        final int daemon;
        int resumedFrom;
        long startedAtMs = -1;
        long countedFromMs;
        long promptMs;
        Optional<HostId> relayedBy = Optional.empty();

        /** Whether nothing that the engine sends reaches the daemon. */
        boolean unreachable;

        Job(AttemptId attempt, VirtualFleet.Work work, Optional<ResumePoint> resume, int daemon) {
            this.attempt = attempt;
            this.work = work;
            this.resume = resume;
            this.daemon = daemon;
            this.resumedFrom = resume.map(ResumePoint::fromToken).orElse(0);
        }
    }
}
