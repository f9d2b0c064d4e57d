package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.TimerKey;

/**
 * Multiplexes one due time per key onto a single timer.
 *
 * <p>Keys that are due together are returned in the order in which they were put. Not thread-safe: confined to the
 * daemon's event loop.
 *
 * @param <K> the type of the keys; has equals and hashCode by value
 */
final class DueQueue<K> {

    private final TimerKey timer;
    private final TreeMap<Long, Set<K>> keysByDueMs = new TreeMap<>();
    private final Map<K, Long> dueMsByKey = new HashMap<>();
    private long scheduledAtMs = Long.MAX_VALUE;

    DueQueue(TimerKey timer) {
        this.timer = timer;
    }

    /** Sets the due time of a key, replacing an earlier one. */
    void put(K key, long dueAtMs, Effects out) {
        remove(key);
        keysByDueMs.computeIfAbsent(dueAtMs, due -> new LinkedHashSet<>()).add(key);
        dueMsByKey.put(key, dueAtMs);
        scheduleFirst(out);
    }

    void remove(K key) {
        Long due = dueMsByKey.remove(key);
        if (due == null) {
            return;
        }
        Set<K> keys = keysByDueMs.get(due);
        keys.remove(key);
        if (keys.isEmpty()) {
            keysByDueMs.remove(due);
        }
    }

    /** Removes and returns the keys that are due, after the timer has fired. */
    List<K> takeDue(long nowMs, Effects out) {
        List<K> due = new ArrayList<>();
        while (!keysByDueMs.isEmpty() && keysByDueMs.firstKey() <= nowMs) {
            due.addAll(keysByDueMs.pollFirstEntry().getValue());
        }
        due.forEach(dueMsByKey::remove);
        scheduledAtMs = Long.MAX_VALUE;
        scheduleFirst(out);
        return due;
    }

    private void scheduleFirst(Effects out) {
        if (!keysByDueMs.isEmpty() && keysByDueMs.firstKey() < scheduledAtMs) {
            scheduledAtMs = keysByDueMs.firstKey();
            out.schedule(timer, scheduledAtMs);
        }
    }
}
