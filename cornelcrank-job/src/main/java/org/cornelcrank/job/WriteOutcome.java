package org.cornelcrank.job;

import org.cornelcrank.core.StoreAnswer;

/** What has become of a write to the store. */
enum WriteOutcome {
    DONE,
    /** Nothing was written and nothing will be. */
    NOT_DONE,
    /** It may have been written, or may be yet. */
    UNKNOWN;

    static WriteOutcome of(StoreAnswer answer) {
        if (answer instanceof StoreAnswer.Appended) {
            return DONE;
        }
        return answer instanceof StoreAnswer.NotDone ? NOT_DONE : UNKNOWN;
    }
}
