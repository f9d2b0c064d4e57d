package org.cornelcrank.routing;

/**
 * Options of a single request for its routing.
 *
 * <p>{@code maxRuns} limits the number of targets that may run the request; zero means that the routing settings
 * decide. {@code resumableAnywhere} indicates that any target can resume the request's interrupted stream, not only the
 * one that began it. {@code objectiveMs} is the latency objective: the time from arrival to the start of the response
 * within which the response is worth most, zero if there is none. Immutable, thus thread-safe.
 */
public record RequestOptions(int maxRuns, boolean resumableAnywhere, long objectiveMs) {

    /** The options of requests that specify none. */
    public static final RequestOptions DEFAULTS = new RequestOptions(0, false, 0);

    public RequestOptions {
        if (maxRuns < 0 || objectiveMs < 0) {
            throw new IllegalArgumentException(
                    "maxRuns and objectiveMs must not be negative but were " + maxRuns + " and " + objectiveMs);
        }
    }
}
