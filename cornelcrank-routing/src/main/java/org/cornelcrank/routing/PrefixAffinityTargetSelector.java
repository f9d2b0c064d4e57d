package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.RendezvousHash;

/**
 * Chooses the same candidate for prompts with the same prefix, unless its load is well above the average.
 *
 * <p>All daemons rank the candidates of a prompt alike, by rendezvous hash of its prefix, and so agree without
 * communication. A candidate that probably has clearly more of the prompt cached is preferred. Prompts without prefixes
 * go to the less loaded of two random candidates. Stateless, thus thread-safe.
 */
public final class PrefixAffinityTargetSelector implements TargetSelector {

    private static final int PREFIX_LEVEL = 1;
    private static final int MIN_PREFIX_ADVANTAGE = 2;
    private static final double LOAD_FACTOR = 1.5;

    private final TargetSelector fallback = new PowerOfTwoTargetSelector();

    @Override
    public String name() {
        return "prefix-affinity";
    }

    @Override
    public Optional<TargetCandidate> select(
            List<TargetCandidate> candidates, RoutedRequest request, RandomGenerator random) {
        List<Long> prefixes = request.prefixHashes();
        if (prefixes.isEmpty() || candidates.size() < 2) {
            return fallback.select(candidates, request, random);
        }
        String prefix = Long.toHexString(prefixes.get(Math.min(PREFIX_LEVEL, prefixes.size() - 1)));
        double meanLoad =
                candidates.stream().mapToDouble(TargetCandidate::load).average().orElse(0);
        List<TargetCandidate> admissible =
                RendezvousHash.rank(prefix, candidates, candidate -> candidate
                                .target()
                                .value())
                        .stream()
                        .filter(candidate -> candidate.load() <= LOAD_FACTOR * meanLoad + 1.0 / candidate.slots())
                        .toList();
        return admissible.isEmpty() ? fallback.select(candidates, request, random) : bestCached(admissible);
    }

    private static Optional<TargetCandidate> bestCached(List<TargetCandidate> ranked) {
        TargetCandidate best = ranked.get(0);
        for (TargetCandidate candidate : ranked) {
            if (candidate.cachedPrefixes() >= best.cachedPrefixes() + MIN_PREFIX_ADVANTAGE) {
                best = candidate;
            }
        }
        return Optional.of(best);
    }
}
