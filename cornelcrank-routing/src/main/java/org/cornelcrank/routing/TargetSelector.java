package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request among those that may serve it.
 *
 * <p>Implementations may be stateful and then belong to one daemon; they are not thread-safe.
 */
public interface TargetSelector {

    /** Returns the name of the policy, as shown in dumps and tables. */
    String name();

    /** Returns the chosen candidate, empty only if there are no candidates. */
    Optional<TargetCandidate> select(List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random);
}
