package org.cornelcrank.core;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StableHashTests {

    /** Partition numbers are stored in the log, so the hash must never change between versions. */
    @Test
    void hashNeverChanges() {
        assertThat(PartitionId.ofKey(new RegionId("zapad"), "job-1", 16).toString())
                .isEqualTo("zapad.5");
    }

    @Test
    void pairDiffersFromItsConcatenation() {
        assertThat(StableHash.of("ab", "c")).isNotEqualTo(StableHash.of("a", "bc"));
    }
}
