package org.cornelcrank.job;

import org.cornelcrank.core.StoreResponse;

/** What has become of a write to the store. */
enum WriteOutcome {
    DONE,
    /** Nothing was written and nothing will be. */
    NOT_DONE,
    /** It may have been written, or may be yet. */
    UNKNOWN;

    static WriteOutcome of(StoreResponse answer) {
        if (answer instanceof StoreResponse.Appended) {
            return DONE;
        }
        return answer instanceof StoreResponse.NotDone ? NOT_DONE : UNKNOWN;
    }
}
