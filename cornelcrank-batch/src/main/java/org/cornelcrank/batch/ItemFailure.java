package org.cornelcrank.batch;

import java.util.Locale;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;

/**
 * States why an item ended without an answer.
 *
 * <p>{@code status} is zero where no target answered. Immutable, thus thread-safe.
 */
record ItemFailure(int status, ByteString body, String code, String message) {

    static ItemFailure of(AttemptOutcome.Failed failed, BatchSettings limits) {
        ByteString body = failed.body().size() > limits.maxResultBytes() ? ByteString.EMPTY : failed.body();
        String code = failed.kind().name().toLowerCase(Locale.ROOT);
        return new ItemFailure(failed.status(), body, code, failed.detail());
    }

    ResultLine line(int item, String customId) {
        return new ResultLine(item, customId, status, body, Optional.of(code), message);
    }
}
