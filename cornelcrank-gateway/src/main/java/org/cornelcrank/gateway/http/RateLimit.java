package org.cornelcrank.gateway.http;

import java.util.OptionalDouble;

/**
 * What the head of a target's response says about the rate of requests that the target accepts from all daemons
 * together.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface RateLimit {

    /** The head states no limit. */
    record None() implements RateLimit {}

    /** The head states a limit in requests per second. */
    record Stated(double requestsPerSecond) implements RateLimit {}

    /** The head states a limit that is not a finite number of at least zero. */
    record Malformed(String text) implements RateLimit {}

    /** Returns the limit of a header's value, which is null if the header is absent. */
    static RateLimit parse(String text) {
        if (text == null) {
            return new None();
        }
        try {
            double requestsPerSecond = Double.parseDouble(text.strip());
            return Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0
                    ? new Stated(requestsPerSecond)
                    : new Malformed(text);
        } catch (NumberFormatException e) {
            return new Malformed(text);
        }
    }

    /** Returns the stated limit in requests per second, empty if there is none. */
    default OptionalDouble maxRequestsPerSecond() {
        return this instanceof Stated stated ? OptionalDouble.of(stated.requestsPerSecond()) : OptionalDouble.empty();
    }
}
