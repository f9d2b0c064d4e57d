package org.cornelcrank.batch;

import java.util.Locale;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;

/**
 * Describes why an item failed.
 *
 * <p>{@code status} is zero if no target responded. Immutable, thus thread-safe.
 */
record ItemFailure(int status, ByteString body, String code, String message) {

    static ItemFailure of(AttemptOutcome.Failed failed, BatchSettings limits) {
        ByteString body = failed.body().size() > limits.maxResultBytes() ? ByteString.EMPTY : failed.body();
        String code = failed.kind().name().toLowerCase(Locale.ROOT);
        return new ItemFailure(failed.status(), body, code, failed.detail());
    }

    ResultLine toResultLine(int item, String customId) {
        return new ResultLine(item, customId, status, body, Optional.of(code), message);
    }
}
