package org.cornelcrank.core;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a duty asks of the store.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface StoreRequest {

    /** Returns whether the request may change the store, so that one without an answer may take effect late. */
    default boolean writes() {
        return false;
    }

    /**
     * Appends records to a keyed topic, all or none.
     *
     * <p>Without records it only raises the producer's epoch. Answered by {@link StoreResponse.Appended},
     * {@link StoreResponse.Fenced} or {@link StoreResponse.OutOfSequence}.
     */
    record Append(TopicPartition at, List<KeyedRecord> records, Optional<Fence> fence, long timeoutMs)
            implements StoreRequest {
        public Append {
            Objects.requireNonNull(at, "at must not be null");
            Objects.requireNonNull(fence, "fence must not be null");
            records = List.copyOf(records);
        }

        @Override
        public boolean writes() {
            return true;
        }
    }

    /** Reads the newest record of each key above a key, in the order of keys; answered by {@link StoreResponse.Newest}. */
    record ReadNewest(TopicPartition at, String afterKey) implements StoreRequest {}

    /**
     * Reads records from an offset, and waits for some if there are none.
     *
     * <p>Answered by {@link StoreResponse.Records} or {@link StoreResponse.Expired}.
     */
    record Read(TopicPartition at, long fromOffset, int maxKilobytes, long waitMs) implements StoreRequest {}

    /**
     * Joins a group or stays in it, which shares out the partitions of the topics among its members.
     *
     * <p>{@code generation} is the last one received, zero at first. Answered by {@link StoreResponse.Joined}.
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

    /** Leaves a group; answered by {@link StoreResponse.Done}. */
    record Leave(String group, String member) implements StoreRequest {
        @Override
        public boolean writes() {
            return true;
        }
    }
}
