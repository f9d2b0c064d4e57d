package org.cornelcrank.job;

import org.cornelcrank.core.StoreResponse;

/** The outcome of a write to the store. */
enum WriteOutcome {
    DONE,
    /** Nothing was written, and nothing will be written later. */
    NOT_DONE,
    /** The records may have been written, or may still be written later. */
    UNKNOWN;

    static WriteOutcome of(StoreResponse response) {
        if (response instanceof StoreResponse.Appended) {
            return DONE;
        }
        return response instanceof StoreResponse.NotDone ? NOT_DONE : UNKNOWN;
    }
}
