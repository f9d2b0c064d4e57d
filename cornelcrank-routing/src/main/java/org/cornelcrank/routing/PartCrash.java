package org.cornelcrank.routing;

import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;

/**
 * The crash of a target while it ran a request whose prompt has a certain part.
 *
 * <p>Immutable, thus thread-safe.
 */
record PartCrash(ServiceName service, long fingerprint, TargetId target, long atMs) {

    /** Returns whether both are signs of one crash: of the same target, at most {@code windowMs} apart. */
    boolean sameCrash(PartCrash other, long windowMs) {
        return target.equals(other.target) && Math.abs(atMs - other.atMs) <= windowMs;
    }
}
