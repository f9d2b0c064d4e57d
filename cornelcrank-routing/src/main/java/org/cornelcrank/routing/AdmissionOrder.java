package org.cornelcrank.routing;

/** Says in which order requests are admitted to a target. */
public enum AdmissionOrder {
    /** Urgent requests first, by permits; batch work gets what is left over and yields at once. */
    URGENCY_FIRST,
    /** As they come, without permits or priorities: the baseline to measure against. */
    ARRIVAL
}
