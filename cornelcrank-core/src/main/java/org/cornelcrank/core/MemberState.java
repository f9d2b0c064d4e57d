package org.cornelcrank.core;

/** States what is known of a member, from best to worst. */
public enum MemberState {
    ALIVE,
    /** Missed a probe; may refute. */
    SUSPECT,
    /** Stops by plan; takes no new duties. */
    LEAVING,
    DEAD
}
