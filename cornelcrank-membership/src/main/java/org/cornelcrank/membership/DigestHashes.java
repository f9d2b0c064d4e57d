package org.cornelcrank.membership;

import java.util.Map;

import org.cornelcrank.core.DataCentreId;

/**
 * Hashes of a daemon's tables, which are equal on two daemons that hold the same entries.
 *
 * <p>Immutable, thus thread-safe.
 */
record DigestHashes(Map<DataCentreId, Long> membersByDataCentre, long everywhereFacts, long dataCentreFacts) {

    /** Used in messages that do not request a comparison. */
    static final DigestHashes NONE = new DigestHashes(Map.of(), 0, 0);

    DigestHashes {
        membersByDataCentre = Map.copyOf(membersByDataCentre);
    }
}
