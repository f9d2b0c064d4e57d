package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.RecordPosition;

/**
 * Guard of one idempotency key, as recorded in the log: the run that its intent record permits and, once the call has
 * finished, the position of the stored response.
 *
 * <p>{@code run} identifies the only permitted run. Immutable, thus thread-safe.
 */
record CallGuard(String run, ByteString digest, long intendedAtMs, Optional<RecordPosition> responsePosition) {

    boolean finished() {
        return responsePosition.isPresent();
    }

    CallGuard withResponseAt(RecordPosition position) {
        return new CallGuard(run, digest, intendedAtMs, Optional.of(position));
    }
}
