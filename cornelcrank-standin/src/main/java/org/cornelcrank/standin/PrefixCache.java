package org.cornelcrank.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bounded cache of prefixes that evicts the least recently used ones.
 *
 * <p>Not thread-safe: confined to the engine's worker.
 */
final class PrefixCache {

    private final int capacity;
    private final Map<Long, Boolean> recentlyUsed = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** The number of hits of a lookup, and the prefixes that it added and evicted. */
    record Use(int hits, List<Long> added, List<Long> evicted) {}

    /**
     * Looks up increasingly long prefixes, counts the hits before the first miss, and adds all of them to the cache.
     */
    Use use(List<Long> prefixes) {
        int hits = 0;
        while (hits < prefixes.size() && recentlyUsed.get(prefixes.get(hits)) != null) {
            hits++;
        }
        List<Long> added = new ArrayList<>();
        for (Long prefix : prefixes) {
            if (recentlyUsed.put(prefix, true) == null) {
                added.add(prefix);
            }
        }
        return new Use(hits, added, evictExcess());
    }

    void clear() {
        recentlyUsed.clear();
    }

    private List<Long> evictExcess() {
        List<Long> evicted = new ArrayList<>();
        var eldest = recentlyUsed.keySet().iterator();
        while (recentlyUsed.size() - evicted.size() > capacity) {
            evicted.add(eldest.next());
        }
        evicted.forEach(recentlyUsed::remove);
        return evicted;
    }
}
