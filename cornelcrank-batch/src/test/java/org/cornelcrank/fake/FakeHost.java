package org.cornelcrank.fake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;

/**
 * One daemon with one state machine; its events wait in its inbox while it is paused.
 *
 * <p>Not thread-safe.
 */
final class FakeHost implements PartitionWriter {

    final DaemonIdentity identity;
    final Deque<Consumer<Effects>> inbox = new ArrayDeque<>();
    final SortedMap<String, Long> timers = new TreeMap<>();
    final Map<String, TimerKey> timerKeys = new HashMap<>();
    final Map<PartitionId, PartitionState> states = new HashMap<>();
    final Map<PartitionId, Long> epochs = new HashMap<>();
    boolean paused;
    private final FakeCluster cluster;
    private StateMachine stateMachine;
    private PartitionClient client;
    private long nextNumber;

    FakeHost(FakeCluster cluster, DaemonIdentity identity) {
        this.cluster = cluster;
        this.identity = identity;
    }

    <T extends StateMachine & PartitionClient> void install(T installed) {
        this.stateMachine = installed;
        this.client = installed;
    }

    HostId id() {
        return identity.host();
    }

    StateMachine stateMachine() {
        return stateMachine;
    }

    PartitionClient client() {
        return client;
    }

    @Override
    public boolean owns(PartitionId partition) {
        return states.containsKey(partition);
    }

    @Override
    public OptionalLong epoch(PartitionId partition) {
        return owns(partition) ? OptionalLong.of(epochs.get(partition)) : OptionalLong.empty();
    }

    @Override
    public Optional<HostId> likelyOwner(PartitionId partition) {
        return cluster.partitions().owner(partition);
    }

    @Override
    public int partitionCount() {
        return cluster.partitions().partitionCount();
    }

    @Override
    public boolean logAvailable(long nowMs) {
        return cluster.logAvailable();
    }

    @Override
    public long pendingBytes(PartitionId partition) {
        return cluster.partitions().pendingBytes(partition);
    }

    @Override
    public long propose(PartitionId partition, DurableRecord record, boolean urgent, long nowMs, Effects out) {
        if (!owns(partition)) {
            throw new IllegalStateException("partition must be owned but " + partition + " is not");
        }
        long number = ++nextNumber;
        cluster.partitions()
                .propose(new FakePartitions.Proposal(id(), number, partition, epochs.get(partition), record));
        return number;
    }

    @Override
    public long readBodies(
            PartitionId partition, String slice, Collection<RecordPosition> positions, long nowMs, Effects out) {
        long number = ++nextNumber;
        cluster.partitions()
                .read(new FakePartitions.Read(id(), identity.incarnation(), number, partition, List.copyOf(positions)));
        return number;
    }
}
