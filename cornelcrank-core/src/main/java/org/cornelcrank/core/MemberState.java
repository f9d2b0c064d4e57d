package org.cornelcrank.core;

/**
 * The state of a member, ordered from best to worst.
 *
 * <p>The order matters: of two updates with the same incarnation, the one with the worse state wins.
 */
public enum MemberState {
    ALIVE,
    /** Did not respond to a probe; may still refute the suspicion. */
    SUSPECT,
    /** Shuts down in an orderly way; accepts no new work. */
    LEAVING,
    DEAD
}
