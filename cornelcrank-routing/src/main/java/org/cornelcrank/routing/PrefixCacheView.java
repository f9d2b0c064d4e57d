package org.cornelcrank.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcrank.core.CacheEvent;

/**
 * Estimates which prompt prefixes one target has cached, from its cache events, which are late and have gaps, and
 * from the prompts that this daemon has sent to it.
 *
 * <p>Invariant: holds at most {@value #MAX_PREFIXES} prefixes; the least recently seen ones are evicted. A wrong entry
 * only costs speed. Not thread-safe: confined to the daemon's event loop.
 */
final class PrefixCacheView {

    static final int MAX_PREFIXES = 512;

    private final LinkedHashMap<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    void changed(List<CacheEvent> changes, boolean gap) {
        if (gap) {
            prefixes.clear();
        }
        for (CacheEvent change : changes) {
            if (change.cached()) {
                put(change.prefixHash());
            } else {
                prefixes.remove(change.prefixHash());
            }
        }
    }

    /** Records that a prompt with these prefixes was sent to the target, which will have them cached soon. */
    void sent(List<Long> prefixHashes) {
        prefixHashes.forEach(this::put);
    }

    /** Returns how many of the prefixes, shortest first, are probably cached without a gap. */
    int held(List<Long> prefixHashes) {
        int count = 0;
        while (count < prefixHashes.size() && prefixes.containsKey(prefixHashes.get(count))) {
            count++;
        }
        return count;
    }

    int size() {
        return prefixes.size();
    }

    private void put(long prefixHash) {
        prefixes.put(prefixHash, Boolean.TRUE);
        if (prefixes.size() > MAX_PREFIXES) {
            Map.Entry<Long, Boolean> eldest = prefixes.entrySet().iterator().next();
            prefixes.remove(eldest.getKey());
        }
    }
}
