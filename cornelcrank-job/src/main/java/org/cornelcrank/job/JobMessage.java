package org.cornelcrank.job;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PeerMessage;

/**
 * What daemons say to one another of jobs.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface JobMessage extends PeerMessage {

    /** Asks the owner for results, or for the body of an item if one is named. */
    record Ask(long number, JobId job, int fromPosition, long waitMs, Optional<String> bodyOf) implements JobMessage {}

    /** Answers an ask; {@code known} is false where the host does not own the partition or knows no such job. */
    record Answer(long number, boolean known, int totalItems, List<ListedResult> results, Optional<ByteString> body)
            implements JobMessage {

        public Answer {
            results = List.copyOf(results);
        }

        static Answer unknown(long number) {
            return new Answer(number, false, 0, List.of(), Optional.empty());
        }
    }
}
