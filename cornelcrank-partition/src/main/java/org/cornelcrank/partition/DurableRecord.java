package org.cornelcrank.partition;

import com.google.protobuf.ByteString;

/**
 * A record that a state machine keeps in a partition.
 *
 * <p>{@code slice} names the state machine whose {@link PartitionState} applies it. Immutable, thus thread-safe.
 */
public record DurableRecord(String slice, ByteString payload) {}
