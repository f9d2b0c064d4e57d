package org.cornelcrank.partition;

import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.PartitionId;

/**
 * Limits how often this daemon claims a partition that it has lost to other daemons' claims.
 *
 * <p>Without it, two daemons that each consider the other dead would claim a partition from each other endlessly.
 * Invariant: with each loss in succession, this daemon waits longer before it claims the partition again.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class ClaimRateLimiter {

    private static final long BASE_MS = 2_000;
    private static final long MAX_MS = 60_000;
    private static final long FORGET_AFTER_MS = 300_000;

    private record Loss(Backoff backoff, long lostAtMs, long retryAtMs) {}

    private final RandomGenerator random;
    private final Map<PartitionId, Loss> losses = new TreeMap<>();

    ClaimRateLimiter(RandomGenerator random) {
        this.random = random;
    }

    void lost(PartitionId partition, long nowMs) {
        Loss previous = losses.get(partition);
        boolean recent = previous != null && nowMs - previous.lostAtMs() < FORGET_AFTER_MS;
        Backoff backoff = recent ? previous.backoff() : new Backoff(BASE_MS, MAX_MS, random);
        losses.put(partition, new Loss(backoff, nowMs, nowMs + backoff.nextDelayMs()));
    }

    boolean allows(PartitionId partition, long nowMs) {
        Loss loss = losses.get(partition);
        return loss == null || nowMs >= loss.retryAtMs();
    }
}
