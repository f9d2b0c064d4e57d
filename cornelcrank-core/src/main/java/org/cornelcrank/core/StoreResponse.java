package org.cornelcrank.core;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * The outcome of a request to the store.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface StoreResponse {

    /** The records were stored starting at {@code offset}; {@code end} is the offset after the last one. */
    record Appended(long offset, long end) implements StoreResponse {}

    /** Refused, nothing was appended: the store has seen a higher epoch of the producer. */
    record Fenced(long epoch) implements StoreResponse {}

    /** Refused, nothing was appended: the store expects another sequence number. */
    record OutOfSequence(long expectedSequence) implements StoreResponse {}

    /**
     * One page of the newest records by key; {@code more} indicates that further keys of the range follow. {@code end}
     * is the end offset of the partition, negative if the transfer ended before it had arrived.
     */
    record Newest(List<StoredRecord> records, boolean more, long end) implements StoreResponse {
        public Newest {
            records = List.copyOf(records);
        }
    }

    /** Records from the requested offset; {@code end} is the end offset of the partition. */
    record Records(List<StoredRecord> records, long nextOffset, long end) implements StoreResponse {
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The requested records are no longer retained; {@code firstOffset} is the oldest remaining one. */
    record Expired(long firstOffset) implements StoreResponse {}

    /** This daemon is a member of the group and is assigned these partitions until the next join. */
    record Joined(long generation, List<TopicPartition> partitions) implements StoreResponse {
        public Joined {
            partitions = List.copyOf(partitions);
        }
    }

    /** The request was executed; there is no result. */
    record Done() implements StoreResponse {}

    /** The request was not executed: the store refused it, or no byte of it reached the store. */
    record NotDone(String reason) implements StoreResponse {}

    /** There was no readable response: the request may have been executed, or may be executed later. */
    record Unknown(String reason) implements StoreResponse {}

    /**
     * A keyed record with its offset.
     *
     * <p>An empty value marks a tombstone.
     */
    record StoredRecord(String key, ByteString value, long offset) {

        /** Returns whether the record is a tombstone. */
        public boolean isTombstone() {
            return value.isEmpty();
        }
    }
}
