package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies one partition of a region.
 *
 * <p>Invariant: {@code index} is not negative. Immutable, thus thread-safe.
 */
public record PartitionId(RegionId region, int index) implements Comparable<PartitionId> {

    public PartitionId {
        Objects.requireNonNull(region, "region must not be null");
        if (index < 0) {
            throw new IllegalArgumentException("index must not be negative but was " + index);
        }
    }

    /**
     * Parses the text form {@code region.index}, such as {@code kerala-south.7}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static PartitionId parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot <= 0) {
            throw new IllegalArgumentException("partition must look like region.index but was '" + text + "'");
        }
        return new PartitionId(new RegionId(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    /** Returns the partition of a key, given the fixed number of partitions of the region. */
    public static PartitionId ofKey(RegionId region, String key, int partitionCount) {
        long hash = StableHash.of(key);
        return new PartitionId(region, (int) Long.remainderUnsigned(hash, partitionCount));
    }

    /** Returns the log stream that contains the partition's records. */
    public StreamName stream() {
        return new StreamName("partition." + this);
    }

    @Override
    public int compareTo(PartitionId other) {
        int byRegion = region.compareTo(other.region);
        return byRegion != 0 ? byRegion : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return region + "." + index;
    }
}
