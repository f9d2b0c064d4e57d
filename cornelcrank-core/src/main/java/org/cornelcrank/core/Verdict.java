package org.cornelcrank.core;

/**
 * Indicates whether a request may have run on a target.
 *
 * <p>{@link NotRun} is used only if it can be proven. Immutable, thus thread-safe.
 */
public sealed interface Verdict {

    NotRun NOT_RUN = new NotRun();
    MayHaveRun MAY_HAVE_RUN = new MayHaveRun();
    Completed COMPLETED = new Completed();

    /** Returns the value of the verdict header. */
    String headerValue();

    /** Returns the verdict of a header value; an unknown value means that the request may have run. */
    static Verdict ofHeaderValue(String text) {
        if (text.equals(NOT_RUN.headerValue())) {
            return NOT_RUN;
        }
        return text.equals(COMPLETED.headerValue()) ? COMPLETED : MAY_HAVE_RUN;
    }

    /** No target has started to run the request, and none will. */
    record NotRun() implements Verdict {
        @Override
        public String headerValue() {
            return "not-run";
        }
    }

    /** A target may have run the request, completely or in part. */
    record MayHaveRun() implements Verdict {
        @Override
        public String headerValue() {
            return "may-have-run";
        }
    }

    /** The request ran to completion. */
    record Completed() implements Verdict {
        @Override
        public String headerValue() {
            return "completed";
        }
    }

    /** Returns the combined verdict of a request of which one part has this verdict and another part the other. */
    default Verdict and(Verdict other) {
        if (this instanceof Completed || other instanceof Completed) {
            return COMPLETED;
        }
        if (this instanceof MayHaveRun || other instanceof MayHaveRun) {
            return MAY_HAVE_RUN;
        }
        return NOT_RUN;
    }
}
