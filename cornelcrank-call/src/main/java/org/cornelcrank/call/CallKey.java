package org.cornelcrank.call;

/**
 * Idempotency key of a call within its team.
 *
 * <p>Immutable, thus thread-safe.
 */
record CallKey(String team, String key) implements Comparable<CallKey> {

    @Override
    public int compareTo(CallKey other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }

    @Override
    public String toString() {
        return team + "|" + key;
    }
}
