package org.cornelcrank.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.RecordPosition;

/**
 * Log and partitions shared by all daemons; a record takes effect only if its writer has the current epoch.
 *
 * <p>Not thread-safe.
 */
final class FakePartitions {

    private final int partitionCount;
    private final SortedMap<PartitionId, Stream> streams = new TreeMap<>();
    private final List<Proposal> proposals = new ArrayList<>();
    private final List<Read> reads = new ArrayList<>();
    private int appends;

    FakePartitions(int partitionCount) {
        this.partitionCount = partitionCount;
    }

    int partitionCount() {
        return partitionCount;
    }

    int appends() {
        return appends;
    }

    Optional<HostId> owner(PartitionId partition) {
        return Optional.ofNullable(stream(partition).owner);
    }

    List<PartitionId> ownedBy(HostId host) {
        return streams.entrySet().stream()
                .filter(entry -> host.equals(entry.getValue().owner))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Assigns the partition to a host under a new epoch and returns the epoch; appends of older epochs become void. */
    long claim(PartitionId partition, HostId host) {
        Stream stream = stream(partition);
        stream.owner = host;
        stream.epoch++;
        return stream.epoch;
    }

    int size(PartitionId partition) {
        return stream(partition).records.size();
    }

    void release(PartitionId partition) {
        Stream stream = stream(partition);
        stream.owner = null;
        stream.epoch++;
    }

    void replay(PartitionId partition, int untilOffset, PartitionState state) {
        Stream stream = stream(partition);
        for (int offset = 0; offset < untilOffset; offset++) {
            Entry entry = stream.records.get(offset);
            state.apply(entry.record(), new RecordPosition(offset, 0), entry.writtenAtMs());
        }
    }

    void propose(Proposal proposal) {
        proposals.add(proposal);
    }

    long pendingBytes(PartitionId partition) {
        return proposals.stream()
                .filter(proposal -> proposal.partition().equals(partition))
                .mapToLong(proposal -> proposal.record().payload().size())
                .sum();
    }

    boolean hasProposals() {
        return !proposals.isEmpty();
    }

    /** Appends the oldest proposal, and returns it with its position if it took effect. */
    Optional<Applied> appendNext(long nowMs) {
        Proposal proposal = proposals.remove(0);
        Stream stream = stream(proposal.partition());
        if (proposal.epoch() != stream.epoch) {
            return Optional.empty();
        }
        appends++;
        stream.records.add(new Entry(proposal.record(), nowMs));
        return Optional.of(new Applied(proposal, new RecordPosition(stream.records.size() - 1, 0), nowMs));
    }

    void discardProposalsOf(HostId host) {
        proposals.removeIf(proposal -> proposal.host().equals(host));
    }

    void read(Read read) {
        reads.add(read);
    }

    List<Read> drainReads() {
        List<Read> drained = List.copyOf(reads);
        reads.clear();
        return drained;
    }

    Map<RecordPosition, ByteString> bodies(Read read) {
        Map<RecordPosition, ByteString> bodies = new HashMap<>();
        Stream stream = stream(read.partition());
        for (RecordPosition position : read.positions()) {
            if (position.offset() >= stream.oldestOffset) {
                bodies.put(
                        position,
                        stream.records.get((int) position.offset()).record().payload());
            }
        }
        return bodies;
    }

    /** Expires records as if their retention had ended; positions do not change. */
    void expireBefore(PartitionId partition, long offset) {
        stream(partition).oldestOffset = offset;
    }

    private Stream stream(PartitionId partition) {
        return streams.computeIfAbsent(partition, key -> new Stream());
    }

    record Proposal(HostId host, long number, PartitionId partition, long epoch, DurableRecord record) {}

    record Applied(Proposal proposal, RecordPosition position, long writtenAtMs) {}

    record Read(HostId host, long incarnation, long number, PartitionId partition, List<RecordPosition> positions) {}

    private record Entry(DurableRecord record, long writtenAtMs) {}

    private static final class Stream {
        private final List<Entry> records = new ArrayList<>();
        private HostId owner;
        private long epoch;
        private long oldestOffset;
    }
}
