package org.cornelcrank.core;

/**
 * Identifies an append by its producer's epoch and sequence number, so that the store refuses appends of an older epoch
 * and applies a repeated append only once.
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
