package org.cornelcrank.routing;

import java.util.EnumSet;
import java.util.Set;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Verdict;

/**
 * Decides whether a failed request may be tried again, and how.
 *
 * <p>Stateless, thus thread-safe.
 */
final class RetryPolicy {

    private static final int HTTP_GONE = 410;
    private static final Set<FailureKind> FINAL =
            EnumSet.of(FailureKind.REJECTED, FailureKind.CANCELLED, FailureKind.ANSWER_TOO_LARGE);
    private static final Set<FailureKind> RESUMABLE = EnumSet.of(FailureKind.CONNECTION_LOST, FailureKind.TIMED_OUT);

    private final int maxAttempts;

    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Says what to do after the failure; the caller of this method still holds it to the budget and the deadline. */
    Step after(Route route, AttemptOutcome.Failed failure) {
        boolean resumeRefused = route.resumedFrom > 0 && failure.status() == HTTP_GONE;
        if (route.attempts >= maxAttempts || FINAL.contains(failure.kind()) && !resumeRefused) {
            return Step.GIVE_UP;
        }
        if (route.bytesReachedCaller || failure.bytesReachedCaller()) {
            boolean resumable = route.request.resumable() && RESUMABLE.contains(failure.kind()) && !resumeRefused;
            return resumable ? Step.RESUME_SAME_TARGET : Step.GIVE_UP;
        }
        if (route.request.repeatable()) {
            return Step.OTHER_TARGET;
        }
        boolean neverSent = failure.kind() == FailureKind.CONNECTION_REFUSED
                && failure.verdict().equals(Verdict.NOT_RUN)
                && route.verdict.equals(Verdict.NOT_RUN);
        return neverSent ? Step.OTHER_TARGET : Step.GIVE_UP;
    }

    /** Says how a request goes on after a failed attempt. */
    enum Step {
        GIVE_UP,
        OTHER_TARGET,
        /** The same stream goes on where it broke off, which no other target can do. */
        RESUME_SAME_TARGET
    }
}
