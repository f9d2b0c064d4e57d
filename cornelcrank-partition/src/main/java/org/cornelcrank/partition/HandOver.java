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

    /**
     * At the successor: the owner has asked again after all was read here, so that the log answers this daemon but not
     * the owner.
     */
    boolean takeOverConfirmed;

    boolean readySent;

    /** At a follower: how often the owner was asked whether it still owns the partition. */
    int queriesSent;

    long nextQueryAtMs;

    /** At the successor: notes an offer of the owner, or a request to take over if {@code from} is null. */
    void invited(HostId from, long epoch, boolean allRead) {
        takeOverConfirmed = from == null && allRead && takeOverEpoch == epoch;
        awaitedFrom = from;
        takeOverEpoch = epoch;
        readySent = false;
    }

    /** At the successor: the owner's invitation has lapsed. */
    void uninvited() {
        invited(null, PartitionFold.NO_EPOCH, false);
    }

    boolean misplaced() {
        return misplacedSinceMs != NEVER;
    }

    void noLongerMisplaced() {
        misplacedSinceMs = NEVER;
    }
}
