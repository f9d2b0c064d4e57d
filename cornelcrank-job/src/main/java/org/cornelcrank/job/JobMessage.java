package org.cornelcrank.job;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.PeerMessage;

/**
 * The messages between daemons about jobs.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface JobMessage extends PeerMessage {

    /** A reply to the message that the receiver sent under the same id. */
    sealed interface Reply extends JobMessage {

        CorrelationId id();
    }

    /** Requests results from the owner, or the body of an item if {@code bodyOfItem} is present. */
    record ReadRequest(CorrelationId id, JobId job, int fromPosition, long waitMs, Optional<String> bodyOfItem)
            implements JobMessage {}

    /**
     * Replies to a read; {@code owner} is false if the host does not own the partition, {@code known} if it does not, or
     * has not loaded the job as far as the read needs.
     */
    record ReadReply(
            CorrelationId id,
            boolean owner,
            boolean known,
            int totalItems,
            List<ListedResult> results,
            Optional<ByteString> body)
            implements Reply {

        public ReadReply {
            results = List.copyOf(results);
        }

        static ReadReply notOwner(CorrelationId id) {
            return new ReadReply(id, false, false, 0, List.of(), Optional.empty());
        }

        static ReadReply unknownJob(CorrelationId id) {
            return new ReadReply(id, true, false, 0, List.of(), Optional.empty());
        }
    }

    /** Requests a peer to write records of a job, as the sender cannot reach the store; idempotent. */
    record WriteRequest(CorrelationId id, JobId job, List<KeyedRecord> records) implements JobMessage {

        public WriteRequest {
            records = List.copyOf(records);
        }
    }

    /** Replies to a write request with its outcome. */
    record WriteReply(CorrelationId id, WriteOutcome outcome) implements Reply {}
}
