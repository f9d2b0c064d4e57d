package org.cornelcrank.routing;

/** The order in which requests are admitted to a target. */
public enum AdmissionOrder {
    /** Urgent requests first, by permits; batch work gets the unused capacity and is preempted at once. */
    URGENCY_FIRST,
    /** In order of arrival, without permits or priorities: the baseline for comparisons. */
    ARRIVAL
}
