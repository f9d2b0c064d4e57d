package org.cornelcrank.core;

/**
 * A daemon's entry in the membership.
 *
 * <p>Invariant: {@code incarnation} increases with each start of the process and with each refutation. Immutable, thus
 * thread-safe.
 */
public record Member(HostId host, Location location, String address, long incarnation, MemberState state) {

    /** Returns whether the member may be given new work. */
    public boolean acceptsWork() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
