package org.cornelcrank.partition;

import org.cornelcrank.core.HostId;

/**
 * The state of the handover of one partition, at its owner or at the successor.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class HandoverState {

    private static final long NEVER = Long.MIN_VALUE;

    /** At the owner: the daemon to which the partition has been offered, null if none. */
    HostId offeredTo;

    /** At the owner: when it stops waiting for the successor to be ready. */
    long offerEndsAtMs;

    /** At the owner: since when rendezvous hashing has assigned the partition to another daemon. */
    long misplacedSinceMs = NEVER;

    /** At the successor: the owner that offered the partition and will release it, null if none. */
    HostId offeredBy;

    /** At the successor: the epoch that its owner will release, or that may be claimed although the owner is alive. */
    long offeredEpoch = PartitionFold.NO_EPOCH;

    /**
     * At the successor: whether the owner repeated its request to claim the partition after this daemon had read all of
     * it, which shows that the log responds to this daemon but not to the owner.
     */
    boolean claimConfirmed;

    boolean readySent;

    /** At a follower: the number of ownership queries sent to the owner. */
    int queriesSent;

    long nextQueryAtMs;

    /** At the successor: records the owner's offer, or its request to claim if {@code from} is null. */
    void offerReceived(HostId from, long epoch, boolean allRead) {
        claimConfirmed = from == null && allRead && offeredEpoch == epoch;
        offeredBy = from;
        offeredEpoch = epoch;
        readySent = false;
    }

    void clearOffer() {
        offerReceived(null, PartitionFold.NO_EPOCH, false);
    }

    boolean isMisplaced() {
        return misplacedSinceMs != NEVER;
    }

    void clearMisplaced() {
        misplacedSinceMs = NEVER;
    }
}
