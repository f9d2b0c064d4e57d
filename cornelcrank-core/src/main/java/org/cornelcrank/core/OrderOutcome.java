package org.cornelcrank.core;

/** The outcome of an order to a target. */
public enum OrderOutcome {
    /** The target executed the order. */
    DONE,
    /** The target refused the order because its fencing number is outdated. */
    FENCED,
    /** The target refused the order for another reason; it had no effect. */
    REFUSED,
    /** There was no response; the order may have taken effect. */
    UNKNOWN
}
