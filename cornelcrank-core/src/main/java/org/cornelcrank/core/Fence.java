package org.cornelcrank.core;

/**
 * Places an append in the order of its producer, so that the store refuses what an older epoch sends and applies a
 * repeated append once.
 *
 * <p>Invariant: epoch and sequence are not negative. Immutable, thus thread-safe.
 */
public record Fence(String producer, long epoch, long sequence) {

    public Fence {
        Names.requireName(producer, "producer");
        if (epoch < 0 || sequence < 0) {
            throw new IllegalArgumentException(
                    "epoch and sequence must not be negative but were " + epoch + " and " + sequence);
        }
    }
}
