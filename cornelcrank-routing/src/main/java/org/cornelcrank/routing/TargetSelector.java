package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request among those that may serve it.
 *
 * <p>Implementations may keep state and then belong to one daemon; they are not thread-safe.
 */
public interface TargetSelector {

    /** Returns the name under which the policy is shown in dumps and tables. */
    String name();

    /** Returns the chosen candidate, empty only if there are none. */
    Optional<TargetCandidate> select(List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random);
}
