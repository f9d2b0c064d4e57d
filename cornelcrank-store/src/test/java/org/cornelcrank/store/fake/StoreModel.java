package org.cornelcrank.store.fake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.Fence;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TopicPartition;

/**
 * An in-memory store that implements the contract: keyed topics, fencing, idempotent appends, groups.
 *
 * <p>Not thread-safe.
 */
public final class StoreModel {

    private static final int MAX_KEPT_RESPONSES = 5;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private final int partitions;
    private final int maxPageBytes;
    private final boolean limitsReads;
    private final Map<TopicPartition, Log> logs = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private EmptyAppends emptyAppends = EmptyAppends.KEEP_SEQUENCE;
    private int appends;

    public StoreModel(int partitions) {
        this(partitions, PAGE_BYTES, false);
    }

    private StoreModel(int partitions, int maxPageBytes, boolean limitsReads) {
        this.partitions = partitions;
        this.maxPageBytes = maxPageBytes;
        this.limitsReads = limitsReads;
    }

    /** Returns a store whose responses are limited as they are on the wire: in base64 for a page, in bytes for a read. */
    public static StoreModel withWireLimits(int partitions) {
        return new StoreModel(partitions, PAGE_BYTES / 4 * 3, true);
    }

    /** Sets how appends without records are counted from now on. */
    public void setEmptyAppends(EmptyAppends rule) {
        emptyAppends = rule;
    }

    /** Returns the number of appends that took effect. */
    public int appends() {
        return appends;
    }

    /** Returns the newest value of each key of a partition, in the order of keys. */
    public Map<String, StoreResponse.StoredRecord> newest(TopicPartition partition) {
        return log(partition).newest;
    }

    /** Expires all records; only the newest of each key remain, readable by key. */
    public void compact() {
        logs.values().forEach(log -> {
            log.first = log.end();
            log.records.clear();
        });
    }

    /** Reassigns the partitions of all groups. */
    public void rebalance() {
        groups.values().forEach(group -> {
            group.rotation++;
            group.assign();
        });
    }

    /** Lets the leases of all members of all groups last longer, as if time had stood still for them. */
    public void extendLeases(long byMs) {
        groups.values()
                .forEach(group -> group.members.replaceAll(
                        (name, member) -> new Member(member.expiresAtMs + byMs, member.generation)));
    }

    /** Executes a request; returns empty if it is a read that has to wait. */
    public Optional<StoreResponse> handle(StoreRequest request, long nowMs) {
        if (request instanceof StoreRequest.Append append) {
            return Optional.of(append(append));
        }
        if (request instanceof StoreRequest.ReadNewest read) {
            return Optional.of(readNewest(read));
        }
        if (request instanceof StoreRequest.Read read) {
            return read(read);
        }
        if (request instanceof StoreRequest.Join join) {
            return Optional.of(
                    groups.computeIfAbsent(join.group(), name -> new Group()).join(join, nowMs));
        }
        StoreRequest.Leave leave = (StoreRequest.Leave) request;
        groups.computeIfAbsent(leave.group(), name -> new Group()).leave(leave.member());
        return Optional.of(new StoreResponse.Done());
    }

    /** Returns the response to a read whose wait is over. */
    public StoreResponse emptyRead(StoreRequest.Read read) {
        Log log = log(read.partition());
        return new StoreResponse.Records(List.of(), Math.min(read.fromOffset(), log.end()), log.end());
    }

    private Log log(TopicPartition partition) {
        return logs.computeIfAbsent(partition, key -> new Log());
    }

    private StoreResponse append(StoreRequest.Append append) {
        Log log = log(append.partition());
        if (append.fence().isEmpty()) {
            return log.add(append.records());
        }
        Fence fence = append.fence().get();
        Producer producer = log.producers.computeIfAbsent(fence.producer(), name -> new Producer());
        if (fence.epoch() < producer.epoch) {
            return new StoreResponse.Fenced(producer.epoch);
        }
        boolean raised = fence.epoch() > producer.epoch;
        if (raised) {
            producer.raise(fence);
        }
        StoreResponse earlier = producer.responses.get(fence.sequence());
        if (earlier != null) {
            return earlier;
        }
        if (append.records().isEmpty()) {
            return setEpoch(producer, fence, raised, log.end());
        }
        if (!producer.anySequence && fence.sequence() != producer.nextSequence) {
            return new StoreResponse.OutOfSequence(producer.nextSequence);
        }
        StoreResponse response = log.add(append.records());
        producer.use(fence.sequence(), response);
        return response;
    }

    private StoreResponse setEpoch(Producer producer, Fence fence, boolean raised, long end) {
        if (emptyAppends == EmptyAppends.FENCE_REPEATS && !raised) {
            return new StoreResponse.Fenced(producer.epoch);
        }
        if (emptyAppends == EmptyAppends.USE_SEQUENCE_ONCE) {
            if (fence.sequence() != producer.nextSequence) {
                return new StoreResponse.OutOfSequence(producer.nextSequence);
            }
            producer.nextSequence++;
        }
        StoreResponse response = new StoreResponse.Appended(end, end);
        if (emptyAppends == EmptyAppends.USE_SEQUENCE) {
            producer.use(fence.sequence(), response);
        }
        producer.anySequence |= emptyAppends == EmptyAppends.IGNORE_SEQUENCE && raised;
        return response;
    }

    private StoreResponse readNewest(StoreRequest.ReadNewest read) {
        Log log = log(read.partition());
        List<StoreResponse.StoredRecord> page = new ArrayList<>();
        int bytes = 0;
        for (StoreResponse.StoredRecord record :
                log.newest.tailMap(read.afterKey(), false).values()) {
            if (read.endsBefore(record.key())) {
                return new StoreResponse.Newest(page, false, -1);
            }
            bytes += record.value().size();
            if (page.size() == PAGE_RECORDS || !page.isEmpty() && bytes > maxPageBytes) {
                return new StoreResponse.Newest(page, true, log.end());
            }
            page.add(record);
        }
        return new StoreResponse.Newest(page, false, log.end());
    }

    private Optional<StoreResponse> read(StoreRequest.Read read) {
        Log log = log(read.partition());
        if (read.fromOffset() < log.first) {
            return Optional.of(new StoreResponse.Expired(log.first));
        }
        if (read.fromOffset() >= log.end()) {
            return Optional.empty();
        }
        List<StoreResponse.StoredRecord> records =
                List.copyOf(log.records.subList((int) (read.fromOffset() - log.first), log.records.size()));
        if (limitsReads) {
            records = upTo(read.maxKilobytes() * 1_024L, records);
        }
        long next = records.get(records.size() - 1).offset() + 1;
        return Optional.of(new StoreResponse.Records(records, next, log.end()));
    }

    private static List<StoreResponse.StoredRecord> upTo(long maxBytes, List<StoreResponse.StoredRecord> records) {
        long bytes = 0;
        for (int i = 0; i < records.size(); i++) {
            bytes += records.get(i).value().size();
            if (i > 0 && bytes > maxBytes) {
                return records.subList(0, i);
            }
        }
        return records;
    }

    private final class Log {

        private final List<StoreResponse.StoredRecord> records = new ArrayList<>();
        private final TreeMap<String, StoreResponse.StoredRecord> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();
        private long first;

        long end() {
            return first + records.size();
        }

        StoreResponse add(List<KeyedRecord> added) {
            long offset = end();
            for (KeyedRecord record : added) {
                StoreResponse.StoredRecord stored = new StoreResponse.StoredRecord(record.key(), record.value(), end());
                records.add(stored);
                if (record.isTombstone()) {
                    newest.remove(record.key());
                } else {
                    newest.put(record.key(), stored);
                }
            }
            appends++;
            return new StoreResponse.Appended(offset, end());
        }
    }

    private static final class Producer {

        private final TreeMap<Long, StoreResponse> responses = new TreeMap<>();
        private long epoch = -1;
        private long nextSequence;
        private boolean anySequence;

        void raise(Fence fence) {
            epoch = fence.epoch();
            nextSequence = fence.sequence();
            anySequence = false;
            responses.clear();
        }

        void use(long sequence, StoreResponse response) {
            nextSequence = sequence + 1;
            anySequence = false;
            responses.put(sequence, response);
            if (responses.size() > MAX_KEPT_RESPONSES) {
                responses.remove(responses.firstKey());
            }
        }
    }

    /** A group: its members by name with their last generation, and the assignment and holder of each partition. */
    private final class Group {

        private final TreeMap<String, Member> members = new TreeMap<>();
        private final Map<TopicPartition, String> assigned = new HashMap<>();
        private final Map<TopicPartition, String> holders =
                new TreeMap<>(Comparator.comparing(TopicPartition::topic).thenComparing(TopicPartition::partition));
        private long generation;
        private int rotation;
        private List<String> topics = List.of();

        StoreResponse join(StoreRequest.Join join, long nowMs) {
            List<String> expired = members.entrySet().stream()
                    .filter(entry -> nowMs > entry.getValue().expiresAtMs)
                    .map(Map.Entry::getKey)
                    .toList();
            expired.forEach(members::remove);
            boolean newMember = !members.containsKey(join.member());
            topics = join.topics();
            members.put(join.member(), new Member(nowMs + join.ttlMs(), join.generation()));
            if (newMember || !expired.isEmpty()) {
                assign();
            }
            handOver();
            List<TopicPartition> held = new ArrayList<>();
            holders.forEach((partition, member) -> {
                if (member.equals(join.member()) && member.equals(assigned.get(partition))) {
                    held.add(partition);
                }
            });
            return new StoreResponse.Joined(generation, held);
        }

        void leave(String member) {
            if (members.remove(member) != null) {
                assign();
            }
        }

        void assign() {
            generation++;
            assigned.clear();
            List<String> memberNames = List.copyOf(members.keySet());
            if (memberNames.isEmpty()) {
                return;
            }
            for (String topic : topics) {
                for (int partition = 0; partition < partitions; partition++) {
                    assigned.put(
                            new TopicPartition(topic, partition),
                            memberNames.get((partition + rotation) % memberNames.size()));
                }
            }
        }

        /** Hands over each partition whose holder has left or has acknowledged the current generation. */
        private void handOver() {
            assigned.forEach((partition, member) -> {
                String holder = holders.get(partition);
                Member holdingMember = holder == null ? null : members.get(holder);
                if (holdingMember == null || holdingMember.generation >= generation) {
                    holders.put(partition, member);
                }
            });
        }
    }

    private record Member(long expiresAtMs, long generation) {}
}
