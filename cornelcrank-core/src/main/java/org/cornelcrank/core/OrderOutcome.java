package org.cornelcrank.core;

/** The outcome of an order to a target. */
public enum OrderOutcome {
    /** The target carried it out. */
    DONE,
    /** The target refused it because its fencing number is outdated. */
    FENCED,
    /** The target refused it for another reason; it had no effect. */
    REFUSED,
    /** There was no response; it may have taken effect. */
    UNKNOWN
}
