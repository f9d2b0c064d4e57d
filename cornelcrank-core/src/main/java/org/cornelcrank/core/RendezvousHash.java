package org.cornelcrank.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses among candidates by rendezvous (highest random weight) hashing.
 *
 * <p>All daemons with the same candidates make the same choice, and the loss of a candidate moves only its own keys.
 * Stateless, thus thread-safe.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /** Returns the candidate with the highest weight for the key, empty if there is none. */
    public static <T> Optional<T> choose(String key, Collection<T> candidates, Function<T, String> name) {
        T best = null;
        long bestWeight = 0;
        String bestName = "";
        for (T candidate : candidates) {
            String candidateName = name.apply(candidate);
            long weight = StableHash.of(key, candidateName);
            int order = best == null ? 1 : Long.compareUnsigned(weight, bestWeight);
            if (order > 0 || order == 0 && candidateName.compareTo(bestName) < 0) {
                best = candidate;
                bestWeight = weight;
                bestName = candidateName;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the candidates ordered by descending weight for the key; each weight is computed once. */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        List<Weighted<T>> weighted = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String candidateName = name.apply(candidate);
            weighted.add(new Weighted<>(candidate, candidateName, StableHash.of(key, candidateName)));
        }
        weighted.sort((left, right) -> {
            int byWeight = Long.compareUnsigned(right.weight, left.weight);
            return byWeight != 0 ? byWeight : left.name.compareTo(right.name);
        });
        List<T> ranked = new ArrayList<>(weighted.size());
        weighted.forEach(entry -> ranked.add(entry.candidate));
        return ranked;
    }

    private record Weighted<T>(T candidate, String name, long weight) {}
}
