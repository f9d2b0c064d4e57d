package org.cornelcrank.routing;

/**
 * Says how a request is to be treated beyond what holds for all.
 *
 * <p>{@code maxRuns} bounds the targets that may run it, zero where the routing's own setting decides.
 * {@code resumableAnywhere} says that any target can go on with its broken stream, not only the one that began it.
 * {@code objectiveMs} is the time from its arrival to the start of the answer within which the answer is worth most, zero
 * where none is stated. Immutable, thus thread-safe.
 */
public record RequestOptions(int maxRuns, boolean resumableAnywhere, long objectiveMs) {

    /** What holds for requests that state nothing. */
    public static final RequestOptions DEFAULTS = new RequestOptions(0, false, 0);

    public RequestOptions {
        if (maxRuns < 0 || objectiveMs < 0) {
            throw new IllegalArgumentException(
                    "maxRuns and objectiveMs must not be negative but were " + maxRuns + " and " + objectiveMs);
        }
    }
}
