package org.cornelcrank.membership;

import java.util.Map;

import org.cornelcrank.core.DataCentreId;

/**
 * Hashes of a daemon's tables, equal where two daemons know the same.
 *
 * <p>Immutable, thus thread-safe.
 */
record DigestHashes(Map<DataCentreId, Long> membersByDataCentre, long everywhereFacts, long dataCentreFacts) {

    /** Stands for no statement at all: carried by messages that ask for no comparison. */
    static final DigestHashes NONE = new DigestHashes(Map.of(), 0, 0);

    DigestHashes {
        membersByDataCentre = Map.copyOf(membersByDataCentre);
    }
}
