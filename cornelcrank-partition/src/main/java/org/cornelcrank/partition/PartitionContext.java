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
 * What all partitions of one daemon share: who writes, with what settings, and the numbers given out.
 *
 * <p>Invariant: sequences and numbers are never given out twice. Not thread-safe: confined to the daemon's event loop.
 */
final class PartitionContext {

    static final String DUTY = "partition";

    /** Starts the purpose of every read of this slice. */
    static final String PURPOSE_PREFIX = "partition-";

    static final String PUMP_TIMER = "pump";
    static final String READ_TIMER = "read";

    final DaemonIdentity identity;
    final PartitionSettings settings;
    final RandomGenerator random;
    final PartitionMetrics metrics;
    final LogHealth log;
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
        this.log = new LogHealth(settings.read());
        this.cache = new GroupCache(settings.read().cacheBytes());
    }

    long nextSequence() {
        return ++lastSequence;
    }

    /** Returns a number for an append, a proposal or a read, unique for this daemon. */
    long nextNumber() {
        return ++lastNumber;
    }

    Backoff backoff() {
        return new Backoff(settings.append().retryBaseMs(), settings.append().retryMaxMs(), random);
    }

    TimerKey timer(String name, PartitionId partition) {
        return new TimerKey(DUTY, name + "/" + partition);
    }

    /** Makes a fold with the empty state of every client. */
    PartitionFold newFold(PartitionId partition) {
        Map<String, PartitionState> states = new TreeMap<>();
        clients.forEach((slice, client) -> states.put(slice, client.newState(partition)));
        RetentionSettings retention = settings.retention();
        return new PartitionFold(states, new OffsetTimes(retention.logRetentionMs() / 32, retention.logRetentionMs()));
    }
}
