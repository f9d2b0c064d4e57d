package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.RecordPosition;

/**
 * What the log says of one key: that its call was intended, and where its answer stands once it finished.
 *
 * <p>{@code run} names the one run that the intent allows. Immutable, thus thread-safe.
 */
record CallGuard(String run, ByteString digest, long intendedAtMs, Optional<RecordPosition> answer) {

    boolean finished() {
        return answer.isPresent();
    }

    CallGuard finishedAt(RecordPosition position) {
        return new CallGuard(run, digest, intendedAtMs, Optional.of(position));
    }
}
