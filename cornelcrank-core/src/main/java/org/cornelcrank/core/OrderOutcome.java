package org.cornelcrank.core;

/** States how a target answered an order. */
public enum OrderOutcome {
    /** The target carried it out. */
    DONE,
    /** The target refused it for its old fencing number. */
    FENCED,
    /** The target refused it for another reason, and it had no effect. */
    REFUSED,
    /** No answer; it may have taken effect. */
    UNKNOWN
}
