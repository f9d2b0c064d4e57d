package org.cornelcrank.core;

/**
 * A daemon as the membership knows it.
 *
 * <p>Invariant: {@code incarnation} grows with each start of the process and each refutation. Immutable, thus thread-safe.
 */
public record Member(HostId host, Location location, String address, long incarnation, MemberState state) {

    /** Returns whether the member may take new duties. */
    public boolean acceptsWork() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
