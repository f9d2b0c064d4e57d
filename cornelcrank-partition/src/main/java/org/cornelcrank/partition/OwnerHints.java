package org.cornelcrank.partition;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;

/**
 * Caches the last known owner of each partition; a hint may be stale.
 *
 * <p>Invariant: a hint of a lower epoch never replaces one of a higher epoch. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class OwnerHints {

    /** The owner of a partition in an epoch, assumed to be current until {@code expiresAtMs}. */
    record Hint(HostId host, long epoch, long expiresAtMs) {}

    private final Map<PartitionId, Hint> hints = new TreeMap<>();

    void update(PartitionId partition, HostId host, long epoch, long expiresAtMs) {
        Hint current = hints.get(partition);
        if (current == null || epoch >= current.epoch()) {
            hints.put(partition, new Hint(host, epoch, expiresAtMs));
        }
    }

    Optional<Hint> find(PartitionId partition, long nowMs) {
        return Optional.ofNullable(hints.get(partition)).filter(hint -> hint.expiresAtMs() > nowMs);
    }

    /** Returns the latest hint, even if it has expired. */
    Optional<Hint> latest(PartitionId partition) {
        return Optional.ofNullable(hints.get(partition));
    }
}
