package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Dissemination.FactListener;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.StableHash;

/**
 * Keeps the facts that have not lapsed.
 *
 * <p>Invariants: a fact is replaced only by a higher version; a fact travels with what is left of its lifetime, so that it
 * lapses everywhere however often it is passed on; a lapsed version is remembered for a while and not taken again; at
 * most {@code maxFacts} are kept, and those next to lapse give way. Not thread-safe: confined to the daemon's event loop.
 */
final class FactTable {

    /** How long a lapsed fact's version is remembered, in ms. */
    private static final long EXPIRED_RETENTION_MS = 10_000;

    /** Facts that lapse sooner are renewed or gone soon: they are left out of digests, and wait for others, in ms. */
    private static final long LASTING_MS = 10_000;

    private final int maxFacts;
    private final MetricRegistry metrics;
    private final TreeMap<FactKey, Held> held = new TreeMap<>();
    private final Map<String, List<FactListener>> listeners = new LinkedHashMap<>();

    FactTable(int maxFacts, MetricRegistry metrics) {
        this.maxFacts = maxFacts;
        this.metrics = metrics;
    }

    void subscribe(String slice, FactListener listener) {
        Objects.requireNonNull(listener, "listener must not be null");
        listeners.computeIfAbsent(slice, ignored -> new ArrayList<>()).add(listener);
    }

    /** Takes a fact and tells the listeners, or returns false if it is not newer than what is known. */
    boolean apply(Fact fact, long nowMs, Effects out) {
        FactKey key = FactKey.of(fact);
        Held known = held.get(key);
        if (fact.lifetimeMs() <= 0 || known != null && known.fact.version() >= fact.version()) {
            return false;
        }
        if (known == null && held.size() >= maxFacts) {
            evictNextToExpire();
        }
        held.put(key, new Held(fact, nowMs + fact.lifetimeMs()));
        for (FactListener listener : listeners.getOrDefault(fact.slice(), List.of())) {
            listener.factReceived(fact, nowMs, out);
        }
        return true;
    }

    /** Returns a fact with what is left of its lifetime, empty if it is unknown or has lapsed. */
    Optional<Fact> find(FactKey key, long nowMs) {
        Held known = held.get(key);
        if (known == null || known.expiresAtMs <= nowMs) {
            return Optional.empty();
        }
        Fact fact = known.fact;
        long remainingMs = known.expiresAtMs - nowMs;
        return Optional.of(new Fact(fact.slice(), fact.key(), fact.version(), fact.value(), remainingMs, fact.scope()));
    }

    /** Returns whether a fact is known and does not lapse soon. */
    boolean isLasting(FactKey key, long nowMs) {
        Held known = held.get(key);
        return known != null && known.expiresAtMs - nowMs >= LASTING_MS;
    }

    /** Returns the version known of a fact, also of one that has lapsed lately; empty if there is none. */
    Optional<Long> version(FactKey key) {
        return Optional.ofNullable(held.get(key)).map(known -> known.fact.version());
    }

    /** Returns the versions of the facts of a scope that do not lapse soon. */
    List<FactVersion> versions(Fact.Scope scope, long nowMs) {
        List<FactVersion> versions = new ArrayList<>();
        for (Map.Entry<FactKey, Held> entry : held.entrySet()) {
            if (isDigested(entry.getValue(), scope, nowMs)) {
                versions.add(
                        new FactVersion(entry.getKey(), entry.getValue().fact.version()));
            }
        }
        return versions;
    }

    /** Returns a hash that is equal where two daemons know the same facts of a scope. */
    long hash(Fact.Scope scope, long nowMs) {
        long sum = 0;
        for (Held known : held.values()) {
            if (isDigested(known, scope, nowMs)) {
                Fact fact = known.fact;
                sum += StableHash.of(fact.slice() + "/" + fact.version(), fact.key());
            }
        }
        return sum;
    }

    void removeExpired(long nowMs) {
        held.values().removeIf(known -> known.expiresAtMs + EXPIRED_RETENTION_MS <= nowMs);
    }

    int size() {
        return held.size();
    }

    /** Returns the facts that have not lapsed, with what is left of their lifetimes. */
    List<Fact> all(long nowMs) {
        return held.keySet().stream()
                .map(key -> find(key, nowMs))
                .flatMap(Optional::stream)
                .toList();
    }

    private void evictNextToExpire() {
        held.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().expiresAtMs))
                .ifPresent(entry -> held.remove(entry.getKey()));
        metrics.counter("membership.facts-evicted").inc();
    }

    private static boolean isDigested(Held known, Fact.Scope scope, long nowMs) {
        return known.fact.scope() == scope && known.expiresAtMs - nowMs >= LASTING_MS;
    }

    private record Held(Fact fact, long expiresAtMs) {}
}
