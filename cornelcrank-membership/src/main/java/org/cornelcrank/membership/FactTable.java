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
 * Holds the facts that have not expired.
 *
 * <p>Invariants: a fact is replaced only by a higher version; a fact is passed on with its remaining lifetime, so that
 * it expires everywhere however often it is forwarded; an expired version is remembered for
 * {@link #EXPIRED_RETENTION_MS} and not accepted again; at most {@code maxFacts} are held, and those that expire next
 * are evicted first. Not thread-safe: confined to the daemon's event loop.
 */
final class FactTable {

    private static final long EXPIRED_RETENTION_MS = 10_000;

    /** Facts with less remaining lifetime are renewed or expire soon; digests omit them and gossip sends them last. */
    private static final long MIN_LASTING_LIFETIME_MS = 10_000;

    private final int maxFacts;
    private final MetricRegistry metrics;
    private final TreeMap<FactKey, Entry> entries = new TreeMap<>();
    private final Map<String, List<FactListener>> listeners = new LinkedHashMap<>();

    FactTable(int maxFacts, MetricRegistry metrics) {
        this.maxFacts = maxFacts;
        this.metrics = metrics;
    }

    void subscribe(String slice, FactListener listener) {
        Objects.requireNonNull(listener, "listener must not be null");
        listeners.computeIfAbsent(slice, ignored -> new ArrayList<>()).add(listener);
    }

    /** Stores a fact and notifies the listeners, or returns false if it is not newer than the known version. */
    boolean apply(Fact fact, long nowMs, Effects out) {
        FactKey key = FactKey.of(fact);
        Entry entry = entries.get(key);
        if (fact.lifetimeMs() <= 0 || entry != null && entry.fact.version() >= fact.version()) {
            return false;
        }
        if (entry == null && entries.size() >= maxFacts) {
            evictNextToExpire();
        }
        entries.put(key, new Entry(fact, nowMs + fact.lifetimeMs()));
        for (FactListener listener : listeners.getOrDefault(fact.slice(), List.of())) {
            listener.factReceived(fact, nowMs, out);
        }
        return true;
    }

    /** Returns a fact with its remaining lifetime, empty if it is unknown or has expired. */
    Optional<Fact> find(FactKey key, long nowMs) {
        Entry entry = entries.get(key);
        if (entry == null || entry.expiresAtMs <= nowMs) {
            return Optional.empty();
        }
        Fact fact = entry.fact;
        long remainingMs = entry.expiresAtMs - nowMs;
        return Optional.of(new Fact(fact.slice(), fact.key(), fact.version(), fact.value(), remainingMs, fact.scope()));
    }

    /** Returns whether a fact is known and does not expire soon. */
    boolean isLasting(FactKey key, long nowMs) {
        Entry entry = entries.get(key);
        return entry != null && entry.expiresAtMs - nowMs >= MIN_LASTING_LIFETIME_MS;
    }

    /** Returns the known version of a fact, which may have expired recently; empty if there is none. */
    Optional<Long> version(FactKey key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.fact.version());
    }

    /** Returns the versions of the facts of a scope that do not expire soon. */
    List<FactVersion> versions(Fact.Scope scope, long nowMs) {
        List<FactVersion> versions = new ArrayList<>();
        for (Map.Entry<FactKey, Entry> entry : entries.entrySet()) {
            if (isInDigest(entry.getValue(), scope, nowMs)) {
                versions.add(
                        new FactVersion(entry.getKey(), entry.getValue().fact.version()));
            }
        }
        return versions;
    }

    /** Returns a hash that is equal on two daemons that hold the same facts of a scope. */
    long hash(Fact.Scope scope, long nowMs) {
        long sum = 0;
        for (Entry entry : entries.values()) {
            if (isInDigest(entry, scope, nowMs)) {
                Fact fact = entry.fact;
                sum += StableHash.of(fact.slice() + "/" + fact.version(), fact.key());
            }
        }
        return sum;
    }

    void removeExpired(long nowMs) {
        entries.values().removeIf(entry -> entry.expiresAtMs + EXPIRED_RETENTION_MS <= nowMs);
    }

    int size() {
        return entries.size();
    }

    /** Returns the facts that have not expired, with their remaining lifetimes. */
    List<Fact> all(long nowMs) {
        return entries.keySet().stream()
                .map(key -> find(key, nowMs))
                .flatMap(Optional::stream)
                .toList();
    }

    private void evictNextToExpire() {
        entries.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().expiresAtMs))
                .ifPresent(entry -> entries.remove(entry.getKey()));
        metrics.counter("membership.facts-evicted").inc();
    }

    private static boolean isInDigest(Entry entry, Fact.Scope scope, long nowMs) {
        return entry.fact.scope() == scope && entry.expiresAtMs - nowMs >= MIN_LASTING_LIFETIME_MS;
    }

    private record Entry(Fact fact, long expiresAtMs) {}
}
