package org.cornelcrank.fleet;

import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * A message about targets from the daemons that watch them to the holder of the region's claim.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface FleetMessage extends PeerMessage {

    /**
     * A target's report, with the number of attempts that the sender has made there since it started, and how many of
     * them failed.
     */
    record TargetSeen(TargetReport report, long attempts, long failures) implements FleetMessage {}

    /** A target does not respond. */
    record TargetLost(TargetId target) implements FleetMessage {}
}
