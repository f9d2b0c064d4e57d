package org.cornelcrank.core;

/**
 * Identifies one partition of a topic in the store.
 *
 * <p>Invariant: {@code partition} is not negative. Immutable, thus thread-safe.
 */
public record TopicPartition(String topic, int partition) {

    public TopicPartition {
        Names.requireName(topic, "topic");
        if (partition < 0) {
            throw new IllegalArgumentException("partition must not be negative but was " + partition);
        }
    }

    @Override
    public String toString() {
        return topic + "/" + partition;
    }
}
