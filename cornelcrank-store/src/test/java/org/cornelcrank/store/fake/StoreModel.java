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
 * A store in memory with the semantics of the contract: keyed topics, fencing, repeated appends, groups.
 *
 * <p>Not thread-safe.
 */
public final class StoreModel {

    private static final int MAX_REPEATS = 5;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private final int partitions;
    private final Map<TopicPartition, Log> logs = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private int appends;

    public StoreModel(int partitions) {
        this.partitions = partitions;
    }

    /** Returns how many appends took effect. */
    public int appends() {
        return appends;
    }

    /** Returns the newest value of each key of a partition, in the order of keys. */
    public Map<String, StoreResponse.StoredRecord> newest(TopicPartition at) {
        return log(at).newest;
    }

    /** Forgets all records but the newest of each key. */
    public void compact() {
        logs.values().forEach(log -> {
            log.first = log.end();
            log.records.clear();
        });
    }

    /** Deals the partitions of all groups anew. */
    public void rebalance() {
        groups.values().forEach(group -> {
            group.turn++;
            group.deal();
        });
    }

    /** Carries out a request; empty if it is a read that has to wait. */
    public Optional<StoreResponse> answer(StoreRequest request, long nowMs) {
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

    /** Returns what a read that has waited enough is told. */
    public StoreResponse nothing(StoreRequest.Read read) {
        Log log = log(read.at());
        return new StoreResponse.Records(List.of(), Math.min(read.fromOffset(), log.end()), log.end());
    }

    private Log log(TopicPartition at) {
        return logs.computeIfAbsent(at, place -> new Log());
    }

    private StoreResponse append(StoreRequest.Append append) {
        Log log = log(append.at());
        if (append.fence().isEmpty()) {
            return log.add(append.records());
        }
        Fence fence = append.fence().get();
        Producer producer = log.producers.computeIfAbsent(fence.producer(), name -> new Producer());
        if (fence.epoch() < producer.epoch) {
            return new StoreResponse.Fenced(producer.epoch);
        }
        if (fence.epoch() > producer.epoch) {
            producer.epoch = fence.epoch();
            producer.next = fence.sequence();
            producer.answers.clear();
        }
        if (append.records().isEmpty()) {
            return new StoreResponse.Appended(log.end(), log.end());
        }
        StoreResponse repeated = producer.answers.get(fence.sequence());
        if (repeated != null) {
            return repeated;
        }
        if (fence.sequence() != producer.next) {
            return new StoreResponse.OutOfSequence(producer.next);
        }
        StoreResponse answer = log.add(append.records());
        producer.next++;
        producer.answers.put(fence.sequence(), answer);
        if (producer.answers.size() > MAX_REPEATS) {
            producer.answers.remove(producer.answers.firstKey());
        }
        return answer;
    }

    private StoreResponse readNewest(StoreRequest.ReadNewest read) {
        Log log = log(read.at());
        List<StoreResponse.StoredRecord> page = new ArrayList<>();
        int bytes = 0;
        for (StoreResponse.StoredRecord record :
                log.newest.tailMap(read.afterKey(), false).values()) {
            bytes += record.value().size();
            if (page.size() == PAGE_RECORDS || !page.isEmpty() && bytes > PAGE_BYTES) {
                return new StoreResponse.Newest(page, true, log.end());
            }
            page.add(record);
        }
        return new StoreResponse.Newest(page, false, log.end());
    }

    private Optional<StoreResponse> read(StoreRequest.Read read) {
        Log log = log(read.at());
        if (read.fromOffset() < log.first) {
            return Optional.of(new StoreResponse.Expired(log.first));
        }
        if (read.fromOffset() >= log.end()) {
            return Optional.empty();
        }
        List<StoreResponse.StoredRecord> records =
                List.copyOf(log.records.subList((int) (read.fromOffset() - log.first), log.records.size()));
        return Optional.of(new StoreResponse.Records(records, log.end(), log.end()));
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
                if (record.drops()) {
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

        private final TreeMap<Long, StoreResponse> answers = new TreeMap<>();
        private long epoch = -1;
        private long next;
    }

    /** Members by name with the generation that they know, and who holds each partition. */
    private final class Group {

        private final TreeMap<String, Member> members = new TreeMap<>();
        private final Map<TopicPartition, String> wanted = new HashMap<>();
        private final Map<TopicPartition, String> holders =
                new TreeMap<>(Comparator.comparing(TopicPartition::topic).thenComparing(TopicPartition::partition));
        private long generation;
        private int turn;
        private List<String> topics = List.of();

        StoreResponse join(StoreRequest.Join join, long nowMs) {
            List<String> lapsed = members.entrySet().stream()
                    .filter(entry -> nowMs > entry.getValue().untilMs)
                    .map(Map.Entry::getKey)
                    .toList();
            lapsed.forEach(members::remove);
            boolean unknown = !members.containsKey(join.member());
            topics = join.topics();
            members.put(join.member(), new Member(nowMs + join.ttlMs(), join.generation()));
            if (unknown || !lapsed.isEmpty()) {
                deal();
            }
            handOver();
            List<TopicPartition> held = new ArrayList<>();
            holders.forEach((place, member) -> {
                if (member.equals(join.member()) && member.equals(wanted.get(place))) {
                    held.add(place);
                }
            });
            return new StoreResponse.Joined(generation, held);
        }

        void leave(String member) {
            if (members.remove(member) != null) {
                deal();
            }
        }

        void deal() {
            generation++;
            wanted.clear();
            List<String> names = List.copyOf(members.keySet());
            if (names.isEmpty()) {
                return;
            }
            for (String topic : topics) {
                for (int partition = 0; partition < partitions; partition++) {
                    wanted.put(new TopicPartition(topic, partition), names.get((partition + turn) % names.size()));
                }
            }
        }

        /** A partition changes hands once its holder is gone or knows the present generation. */
        private void handOver() {
            wanted.forEach((place, member) -> {
                String holder = holders.get(place);
                Member holding = holder == null ? null : members.get(holder);
                if (holding == null || holding.generation >= generation) {
                    holders.put(place, member);
                }
            });
        }
    }

    private record Member(long untilMs, long generation) {}
}
