package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.RecordPosition;

/**
 * Guard of one idempotency key, as recorded in the log: its call was intended, and, once finished, where its response
 * is stored.
 *
 * <p>{@code run} identifies the only run that the intent record permits. Immutable, thus thread-safe.
 */
record CallGuard(String run, ByteString digest, long intendedAtMs, Optional<RecordPosition> responsePosition) {

    boolean finished() {
        return responsePosition.isPresent();
    }

    CallGuard withResponseAt(RecordPosition position) {
        return new CallGuard(run, digest, intendedAtMs, Optional.of(position));
    }
}
