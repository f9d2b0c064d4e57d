package org.cornelcrank.job;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.PeerMessage;

/**
 * What daemons say to one another of jobs.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface JobMessage extends PeerMessage {

    /** Asks the owner for results, or for the body of an item if one is named. */
    record ReadRequest(long number, JobId job, int fromPosition, long waitMs, Optional<String> bodyOf)
            implements JobMessage {}

    /** Answers an ask; {@code known} is false where the host does not own the partition or knows no such job. */
    record ReadReply(long number, boolean known, int totalItems, List<ListedResult> results, Optional<ByteString> body)
            implements JobMessage {

        public ReadReply {
            results = List.copyOf(results);
        }

        static ReadReply unknown(long number) {
            return new ReadReply(number, false, 0, List.of(), Optional.empty());
        }
    }

    /** Asks to write records of a job to the store, for a daemon that does not reach it; repeating it changes nothing. */
    record WriteRequest(long number, JobId job, List<KeyedRecord> records) implements JobMessage {

        public WriteRequest {
            records = List.copyOf(records);
        }
    }

    /** Says what has become of a write. */
    record WriteReply(long number, WriteOutcome outcome) implements JobMessage {}
}
