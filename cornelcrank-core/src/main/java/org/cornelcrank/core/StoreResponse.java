package org.cornelcrank.core;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * What became of a request to the store.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface StoreResponse {

    /** The records lie in the store from {@code offset} on; {@code end} is the offset after the last. */
    record Appended(long offset, long end) implements StoreResponse {}

    /** Refused: the producer has a higher epoch, and nothing was appended. */
    record Fenced(long epoch) implements StoreResponse {}

    /** Refused: another sequence must follow, and nothing was appended. */
    record OutOfSequence(long expectedSequence) implements StoreResponse {}

    /** One page of the newest records by key; {@code more} says that further keys follow. */
    record Newest(List<StoredRecord> records, boolean more, long end) implements StoreResponse {
        public Newest {
            records = List.copyOf(records);
        }
    }

    /** Records from the offset that was asked for; {@code end} is the partition's end. */
    record Records(List<StoredRecord> records, long nextOffset, long end) implements StoreResponse {
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The records that were asked for are gone; {@code firstOffset} is the oldest that is left. */
    record Expired(long firstOffset) implements StoreResponse {}

    /** This daemon is a member and holds these partitions until the next join says otherwise. */
    record Joined(long generation, List<TopicPartition> partitions) implements StoreResponse {
        public Joined {
            partitions = List.copyOf(partitions);
        }
    }

    /** Carried out; there is nothing to tell. */
    record Done() implements StoreResponse {}

    /** Nothing was done: the store refused the request, or no byte of it reached the store. */
    record NotDone(String reason) implements StoreResponse {}

    /** No answer came, or none that can be read: the request may have been carried out, or may be later. */
    record Unknown(String reason) implements StoreResponse {}

    /**
     * A keyed record with its offset.
     *
     * <p>An empty value says that the key was dropped.
     */
    record StoredRecord(String key, ByteString value, long offset) {

        /** Returns whether the record drops its key. */
        public boolean drops() {
            return value.isEmpty();
        }
    }
}
