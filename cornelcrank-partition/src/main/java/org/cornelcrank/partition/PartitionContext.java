package org.cornelcrank.partition;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.TimerKey;

/**
 * Holds what all partitions of a daemon share: its identity, settings, clients and number sequences.
 *
 * <p>Invariant: no sequence number and no request number is issued twice. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class PartitionContext {

    static final String SLICE = "partition";

    /** Prefix of the purpose of every log read of this slice. */
    static final String PURPOSE_PREFIX = "partition-";

    static final String APPEND_TIMER = "pump";
    static final String READ_TIMER = "read";

    final DaemonIdentity identity;
    final PartitionSettings settings;
    final RandomGenerator random;
    final PartitionMetrics metrics;
    final LogHealth logHealth;
    final GroupCache cache;
    final Map<String, PartitionClient> clients = new TreeMap<>();
    long lastEventAtMs;
    private long lastSequence;
    private long lastNumber;

    PartitionContext(
            DaemonIdentity identity, PartitionSettings settings, RandomGenerator random, PartitionMetrics metrics) {
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.random = Objects.requireNonNull(random, "random must not be null");
        this.metrics = metrics;
        this.logHealth = new LogHealth(settings.read());
        this.cache = new GroupCache(settings.read().cacheBytes());
    }

    long nextSequence() {
        return ++lastSequence;
    }

    /** Returns a number for an append, a proposal or a read, unique within this daemon's run. */
    long nextNumber() {
        return ++lastNumber;
    }

    Backoff backoff() {
        return new Backoff(settings.append().retryBaseMs(), settings.append().retryMaxMs(), random);
    }

    TimerKey timer(String name, PartitionId partition) {
        return new TimerKey(SLICE, name + "/" + partition);
    }

    /** Creates a fold with an empty state for every client. */
    PartitionFold newFold(PartitionId partition) {
        Map<String, PartitionState> states = new TreeMap<>();
        clients.forEach((slice, client) -> states.put(slice, client.newState(partition)));
        RetentionSettings retention = settings.retention();
        return new PartitionFold(
                states, new OffsetTimeIndex(retention.logRetentionMs() / 32, retention.logRetentionMs()));
    }
}
