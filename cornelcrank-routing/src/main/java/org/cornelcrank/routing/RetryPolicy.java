package org.cornelcrank.routing;

import java.util.EnumSet;
import java.util.Set;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Verdict;

/**
 * Decides whether a failed request may be retried, and how.
 *
 * <p>Stateless, thus thread-safe.
 */
final class RetryPolicy {

    private static final int HTTP_GONE = 410;

    /** How many attempts a request may make in addition to its permitted runs, since targets may refuse to run it. */
    static final int MAX_NOT_RUN_ATTEMPTS = 3;

    private static final Set<FailureKind> FINAL =
            EnumSet.of(FailureKind.REJECTED, FailureKind.CANCELLED, FailureKind.ANSWER_TOO_LARGE);
    private static final Set<FailureKind> RESUMABLE = EnumSet.of(
            FailureKind.CONNECTION_LOST,
            FailureKind.TARGET_GONE,
            FailureKind.PATH_LOST,
            FailureKind.RELAY_FAILED,
            FailureKind.CONNECTION_REFUSED,
            FailureKind.TIMED_OUT);

    private final int maxAttempts;

    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Returns the next step after the failure; the caller still applies the retry budget and the deadline. */
    Step after(Route route, AttemptOutcome.Failed failure) {
        boolean resumeRefused = route.resumedFrom > 0 && failure.status() == HTTP_GONE;
        if (exhausted(route) || FINAL.contains(failure.kind()) && !resumeRefused) {
            return Step.GIVE_UP;
        }
        if (route.bytesReachedCaller || failure.bytesReachedCaller()) {
            boolean anywhere = route.request.options().resumableAnywhere();
            boolean resumable =
                    RESUMABLE.contains(failure.kind()) || anywhere && failure.kind() == FailureKind.OVERLOADED;
            if (!route.request.resumable() || !resumable || resumeRefused) {
                return Step.GIVE_UP;
            }
            return anywhere ? Step.OTHER_TARGET : Step.RESUME_SAME_TARGET;
        }
        if (route.request.repeatable()) {
            return Step.OTHER_TARGET;
        }
        boolean neverRun = failure.verdict().equals(Verdict.NOT_RUN) && route.verdict.equals(Verdict.NOT_RUN);
        return neverRun ? Step.OTHER_TARGET : Step.GIVE_UP;
    }

    /** Returns whether the request has used up its attempts, or its runs if these are limited. */
    private boolean exhausted(Route route) {
        return exhausted(route, route.runs);
    }

    private boolean exhausted(Route route, int runs) {
        int maxRuns = route.request.options().maxRuns();
        return maxRuns > 0
                ? runs >= maxRuns || route.attempts >= maxRuns + MAX_NOT_RUN_ATTEMPTS
                : route.attempts >= maxAttempts;
    }

    /** Returns whether no attempt may follow the running one if it runs the request. */
    boolean isLastRun(Route route) {
        return exhausted(route, route.runs + 1);
    }

    /** The next step of a request after a failed attempt. */
    enum Step {
        GIVE_UP,
        OTHER_TARGET,
        /** Resumes the stream where it was interrupted, which no other target can do. */
        RESUME_SAME_TARGET
    }
}
