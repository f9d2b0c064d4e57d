package org.cornelcrank.core;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A request from a state machine to the store.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface StoreRequest {

    /** Returns whether the request may change the store; if so, one without a response may take effect later. */
    default boolean writes() {
        return false;
    }

    /**
     * Appends records to a keyed topic atomically.
     *
     * <p>Without records, it only raises the producer's epoch. The response is {@link StoreResponse.Appended},
     * {@link StoreResponse.Fenced} or {@link StoreResponse.OutOfSequence}.
     */
    record Append(TopicPartition partition, List<KeyedRecord> records, Optional<Fence> fence, long timeoutMs)
            implements StoreRequest {
        public Append {
            Objects.requireNonNull(partition, "partition must not be null");
            Objects.requireNonNull(fence, "fence must not be null");
            records = List.copyOf(records);
        }

        @Override
        public boolean writes() {
            return true;
        }
    }

    /**
     * Reads the newest record of each key after {@code afterKey} and before {@code beforeKey}, in key order; returns
     * {@link StoreResponse.Newest}.
     *
     * <p>An empty {@code beforeKey} stands for the end of the partition. The transfer ends with the first key that is
     * not before it, so that a short range costs a few records rather than a whole page.
     */
    record ReadNewest(TopicPartition partition, String afterKey, String beforeKey) implements StoreRequest {
        public ReadNewest {
            Objects.requireNonNull(partition, "partition must not be null");
            Objects.requireNonNull(afterKey, "afterKey must not be null");
            Objects.requireNonNull(beforeKey, "beforeKey must not be null");
        }

        /** Creates a request for all keys after the given one. */
        public ReadNewest(TopicPartition partition, String afterKey) {
            this(partition, afterKey, "");
        }

        /** Returns whether the range ends before the key. */
        public boolean endsBefore(String key) {
            return !beforeKey.isEmpty() && key.compareTo(beforeKey) >= 0;
        }
    }

    /**
     * Reads records from an offset; if there are none, waits up to {@code waitMs} for new ones.
     *
     * <p>The response is {@link StoreResponse.Records} or {@link StoreResponse.Expired}.
     */
    record Read(TopicPartition partition, long fromOffset, int maxKilobytes, long waitMs) implements StoreRequest {}

    /**
     * Joins a group, or renews the membership in it; the group assigns the partitions of the topics to its members.
     *
     * <p>{@code generation} is the last one received, initially zero. The response is {@link StoreResponse.Joined}.
     */
    record Join(String group, String member, List<String> topics, long ttlMs, long generation) implements StoreRequest {
        public Join {
            topics = List.copyOf(topics);
        }

        @Override
        public boolean writes() {
            return true;
        }
    }

    /** Leaves a group; the response is {@link StoreResponse.Done}. */
    record Leave(String group, String member) implements StoreRequest {
        @Override
        public boolean writes() {
            return true;
        }
    }
}
