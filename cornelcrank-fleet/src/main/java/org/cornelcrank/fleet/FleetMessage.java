package org.cornelcrank.fleet;

import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * What daemons that watch targets tell the holder of the region's claim.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface FleetMessage extends PeerMessage {

    /** A target's report, with how many attempts the sender has made there since it started and how many failed. */
    record TargetSeen(TargetReport report, long attempts, long failures) implements FleetMessage {}

    /** A target does not answer. */
    record TargetLost(TargetId target) implements FleetMessage {}
}
