package org.cornelcrank.routing;

import java.util.Objects;
import java.util.Optional;

import org.cornelcrank.config.TeamPolicy;

/**
 * Options of a single request for its routing.
 *
 * <p>{@code maxRuns} limits the number of targets that may run the request; zero means that the routing settings
 * decide. {@code resumableAnywhere} indicates that any target can resume the request's interrupted stream, not only the
 * one that began it. {@code objectiveMs} is the latency objective: the time from arrival to the start of the response
 * within which the response is worth most, zero if there is none. {@code stream} identifies a stream that any target of
 * one version of the software can resume, also for a caller that comes back to another daemon. {@code admittedUnder} is
 * the policy of the team by which the request's service was selected; if it is empty, the policy in effect when the
 * request is routed decides on it. Immutable, thus thread-safe.
 */
public record RequestOptions(
        int maxRuns,
        boolean resumableAnywhere,
        long objectiveMs,
        Optional<StreamIdentity> stream,
        Optional<TeamPolicy> admittedUnder) {

    /** The options of requests that specify none. */
    public static final RequestOptions DEFAULTS = new RequestOptions(0, false, 0);

    /** Creates options for a request whose stream is not taken up by its caller and whose service was not selected. */
    public RequestOptions(int maxRuns, boolean resumableAnywhere, long objectiveMs) {
        this(maxRuns, resumableAnywhere, objectiveMs, Optional.empty(), Optional.empty());
    }

    public RequestOptions {
        Objects.requireNonNull(stream, "stream must not be null");
        Objects.requireNonNull(admittedUnder, "admittedUnder must not be null");
        if (maxRuns < 0 || objectiveMs < 0) {
            throw new IllegalArgumentException(
                    "maxRuns and objectiveMs must not be negative but were " + maxRuns + " and " + objectiveMs);
        }
    }
}
