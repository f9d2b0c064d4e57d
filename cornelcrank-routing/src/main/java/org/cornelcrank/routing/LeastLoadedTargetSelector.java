package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest occupied share of its slots, at random among equals.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class LeastLoadedTargetSelector implements TargetSelector {

    @Override
    public String name() {
        return "least-loaded";
    }

    @Override
    public Optional<TargetCandidate> select(
            List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random) {
        TargetCandidate best = null;
        int tieCount = 0;
        for (TargetCandidate candidate : candidates) {
            int order = best == null ? -1 : Double.compare(candidate.load(), best.load());
            tieCount = order < 0 ? 1 : order == 0 ? tieCount + 1 : tieCount;
            if (order < 0 || order == 0 && random.nextInt(tieCount) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}
