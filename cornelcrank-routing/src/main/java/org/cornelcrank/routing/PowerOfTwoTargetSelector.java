package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random candidates, so that daemons with the same stale view do not all choose the same
 * one.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class PowerOfTwoTargetSelector implements TargetSelector {

    @Override
    public String name() {
        return "power-of-two";
    }

    @Override
    public Optional<TargetCandidate> select(
            List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random) {
        if (candidates.size() < 2) {
            return candidates.stream().findFirst();
        }
        int firstIndex = random.nextInt(candidates.size());
        int secondIndex = random.nextInt(candidates.size() - 1);
        TargetCandidate first = candidates.get(firstIndex);
        TargetCandidate second = candidates.get(secondIndex < firstIndex ? secondIndex : secondIndex + 1);
        return Optional.of(second.load() < first.load() ? second : first);
    }
}
