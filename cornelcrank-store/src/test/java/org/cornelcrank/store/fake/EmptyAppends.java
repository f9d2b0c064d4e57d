package org.cornelcrank.store.fake;

/** How a store counts the sequence numbers of appends without records, which only set the epoch. */
public enum EmptyAppends {

    /** The number is not used up, and the next append has it. */
    KEEP_SEQUENCE,

    /** The number is ignored: the next append may have any. */
    IGNORE_SEQUENCE,

    /** The number is used up, and a repeat receives the first response. */
    USE_SEQUENCE,

    /** The number is used up, and a repeat is out of sequence. */
    USE_SEQUENCE_ONCE,

    /** The number is not used up, and a repeat is fenced by the epoch that the first one has set. */
    FENCE_REPEATS
}
