package org.cornelcrank.membership;

import java.util.Comparator;

import org.cornelcrank.core.Fact;

/**
 * Identifies a fact among those of all slices.
 *
 * <p>Immutable, thus thread-safe.
 */
record FactKey(String slice, String key) implements Comparable<FactKey> {

    private static final Comparator<FactKey> ORDER =
            Comparator.comparing(FactKey::slice).thenComparing(FactKey::key);

    static FactKey of(Fact fact) {
        return new FactKey(fact.slice(), fact.key());
    }

    @Override
    public int compareTo(FactKey other) {
        return ORDER.compare(this, other);
    }
}
