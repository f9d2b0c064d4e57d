package org.cornelcrank.partition;

import org.cornelcrank.core.HostId;

/**
 * The state of handing one partition from its owner to another daemon, at either side.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class HandOver {

    private static final long NEVER = Long.MIN_VALUE;

    /** At the owner: whom it has offered the partition, null if nobody. */
    HostId offeredTo;

    /** At the owner: when it stops waiting for the other to be ready. */
    long offerEndsAtMs;

    /** At the owner: since when another daemon has been the partition's place by hash. */
    long misplacedSinceMs = NEVER;

    /** At the successor: the owner that has offered the partition, null if none. */
    HostId awaitedFrom;

    /** At the successor: the epoch that may be superseded though its owner lives, or that will be released. */
    long takeOverEpoch = PartitionFold.NO_EPOCH;

    boolean readySent;

    /** At a follower: how often the owner was asked whether it still owns the partition. */
    int queriesSent;

    long nextQueryAtMs;

    boolean misplaced() {
        return misplacedSinceMs != NEVER;
    }

    void noLongerMisplaced() {
        misplacedSinceMs = NEVER;
    }
}
