package org.cornelcrank.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cornelcrank.core.TargetId;

/**
 * The targets that have stated in a response that they leave.
 *
 * <p>Such a statement holds for the incarnation that was listed when the request of the response was sent, whatever the
 * target's entry says before or after, and also if the entry disappears and comes back. Invariants: a target that
 * leaves does so until a new incarnation of it is listed; a response to a request that was sent before the listed
 * incarnation was known says nothing about it, as a former incarnation may have given it. Holds at most {@link #MAX_TARGETS}
 * targets; the one that was listed or stated least recently is evicted. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class LeavingTargets {

    static final int MAX_TARGETS = 8_192;

    private final Map<TargetId, Listed> targets = new LeastRecentlyUsedMap();

    /** Records that a target is listed with an incarnation. */
    void listed(TargetId target, long incarnation, long nowMs) {
        Listed before = targets.get(target);
        if (before == null || before.incarnation != incarnation) {
            targets.put(target, new Listed(incarnation, nowMs, false));
        }
    }

    /**
     * Records that a target has stated that it leaves, in a response to a request that was sent at {@code sentAtMs};
     * returns whether that was not known.
     */
    boolean stated(TargetId target, long sentAtMs) {
        Listed listed = targets.get(target);
        if (listed == null || listed.leaving || sentAtMs < listed.sinceMs) {
            return false;
        }
        targets.put(target, new Listed(listed.incarnation, listed.sinceMs, true));
        return true;
    }

    boolean contains(TargetId target) {
        Listed listed = targets.get(target);
        return listed != null && listed.leaving;
    }

    private record Listed(long incarnation, long sinceMs, boolean leaving) {}

    private static final class LeastRecentlyUsedMap extends LinkedHashMap<TargetId, Listed> {

        private static final long serialVersionUID = 1L;
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        LeastRecentlyUsedMap() {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Listed> eldest) {
            return size() > MAX_TARGETS;
        }
    }
}
