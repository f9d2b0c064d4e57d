package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidates in turn, regardless of their load; a baseline for comparisons.
 *
 * <p>Holds its position, so each daemon needs its own instance. Not thread-safe.
 */
public final class RoundRobinTargetSelector implements TargetSelector {

    private int next;

    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Optional<TargetCandidate> select(
            List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        next = (next + 1) % candidates.size();
        return Optional.of(candidates.get(next));
    }
}
