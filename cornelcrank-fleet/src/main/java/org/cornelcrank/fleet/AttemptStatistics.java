package org.cornelcrank.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.TargetId;

/**
 * Counts this daemon's attempts on each target, and those that failed because of the target.
 *
 * <p>Invariant: tracks at most {@link #MAX_IN_PROGRESS} attempts in progress; beyond that, the oldest are not counted.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class AttemptStatistics {

    private static final int MAX_IN_PROGRESS = 8_192;

    private final Map<AttemptId, TargetId> inProgress = new LinkedHashMap<>();
    private final Map<TargetId, Counts> counts = new TreeMap<>();

    void started(AttemptId attempt, TargetId target) {
        inProgress.put(attempt, target);
        if (inProgress.size() > MAX_IN_PROGRESS) {
            inProgress.remove(inProgress.keySet().iterator().next());
        }
    }

    void ended(AttemptId attempt, AttemptOutcome outcome) {
        TargetId target = inProgress.remove(attempt);
        if (target == null || isCancelled(outcome)) {
            return;
        }
        Counts before = countsOf(target);
        counts.put(target, new Counts(before.attempts + 1, before.failures + (isTargetFault(outcome) ? 1 : 0)));
    }

    Counts countsOf(TargetId target) {
        return counts.getOrDefault(target, Counts.NONE);
    }

    /** Discards the counts of all other targets. */
    void retain(Set<TargetId> targets) {
        counts.keySet().retainAll(targets);
    }

    private static boolean isCancelled(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.Failed failed && failed.kind() == FailureKind.CANCELLED;
    }

    private static boolean isTargetFault(AttemptOutcome outcome) {
        if (!(outcome instanceof AttemptOutcome.Failed failed)) {
            return false;
        }
        return switch (failed.kind()) {
            case CONNECTION_REFUSED, CONNECTION_LOST, TARGET_GONE, TIMED_OUT, TARGET_ERROR -> true;
            default -> false;
        };
    }

    /** The number of attempts, and how many of them failed. */
    record Counts(long attempts, long failures) {

        static final Counts NONE = new Counts(0, 0);

        Counts plus(Counts other) {
            return new Counts(attempts + other.attempts, failures + other.failures);
        }

        Counts minus(Counts earlier) {
            return new Counts(Math.max(0, attempts - earlier.attempts), Math.max(0, failures - earlier.failures));
        }

        double failureShare() {
            return attempts == 0 ? 0 : (double) failures / attempts;
        }
    }
}
