package org.cornelcrank.partition;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;

/**
 * Remembers who is believed to own each partition; a hint may be stale.
 *
 * <p>Invariant: a hint of a lower epoch never replaces one of a higher epoch. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class OwnerHints {

    /** Who owned a partition under which epoch, believed until {@code lapsesAtMs}. */
    record Hint(HostId host, long epoch, long expiresAtMs) {}

    private final Map<PartitionId, Hint> hints = new TreeMap<>();

    void learn(PartitionId partition, HostId host, long epoch, long lapsesAtMs) {
        Hint known = hints.get(partition);
        if (known == null || epoch >= known.epoch()) {
            hints.put(partition, new Hint(host, epoch, lapsesAtMs));
        }
    }

    Optional<Hint> find(PartitionId partition, long nowMs) {
        return Optional.ofNullable(hints.get(partition)).filter(hint -> hint.expiresAtMs() > nowMs);
    }

    /** Returns the newest hint, also if it has lapsed. */
    Optional<Hint> last(PartitionId partition) {
        return Optional.ofNullable(hints.get(partition));
    }
}
