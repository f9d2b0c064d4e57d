package org.cornelcrank.partition;

import com.google.protobuf.ByteString;

/**
 * A record that one duty keeps in a partition.
 *
 * <p>{@code slice} names the duty whose {@link PartitionState} applies it. Immutable, thus thread-safe.
 */
public record DurableRecord(String slice, ByteString payload) {}
