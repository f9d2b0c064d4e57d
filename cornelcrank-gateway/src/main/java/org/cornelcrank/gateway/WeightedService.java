package org.cornelcrank.gateway;

import java.util.Objects;

import org.cornelcrank.core.ServiceName;

/**
 * A service with its weight in the distribution of a route's requests.
 *
 * <p>Invariant: the weight is not negative. Immutable, thus thread-safe.
 */
public record WeightedService(ServiceName service, int weight) {

    public WeightedService {
        Objects.requireNonNull(service, "service must not be null");
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative but was " + weight);
        }
    }
}
