package org.cornelcrank.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers the prefixes used last, up to a bound.
 *
 * <p>Not thread-safe: confined to the engine's worker.
 */
final class PrefixCache {

    private final int capacity;
    private final Map<Long, Boolean> usedLast = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** What a use of the cache changed. */
    record Use(int hits, List<Long> added, List<Long> evicted) {}

    /** Looks up ever longer prefixes, of which the first miss ends the hits, and keeps all of them. */
    Use use(List<Long> prefixes) {
        int hits = 0;
        while (hits < prefixes.size() && usedLast.get(prefixes.get(hits)) != null) {
            hits++;
        }
        List<Long> added = new ArrayList<>();
        for (Long prefix : prefixes) {
            if (usedLast.put(prefix, true) == null) {
                added.add(prefix);
            }
        }
        return new Use(hits, added, evictExcess());
    }

    void clear() {
        usedLast.clear();
    }

    private List<Long> evictExcess() {
        List<Long> evicted = new ArrayList<>();
        var eldest = usedLast.keySet().iterator();
        while (usedLast.size() - evicted.size() > capacity) {
            evicted.add(eldest.next());
        }
        evicted.forEach(usedLast::remove);
        return evicted;
    }
}
