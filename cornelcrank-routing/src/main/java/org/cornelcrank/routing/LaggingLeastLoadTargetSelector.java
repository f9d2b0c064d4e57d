package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidate whose own, lagging report shows the lowest load, at random among equals; a baseline for
 * comparisons.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class LaggingLeastLoadTargetSelector implements TargetSelector {

    @Override
    public String name() {
        return "lagging-least-load";
    }

    @Override
    public Optional<TargetCandidate> select(
            List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random) {
        int least = candidates.stream()
                .mapToInt(TargetCandidate::reportedLoad)
                .min()
                .orElse(0);
        List<TargetCandidate> ties = candidates.stream()
                .filter(candidate -> candidate.reportedLoad() == least)
                .toList();
        return ties.isEmpty() ? Optional.empty() : Optional.of(ties.get(random.nextInt(ties.size())));
    }
}
