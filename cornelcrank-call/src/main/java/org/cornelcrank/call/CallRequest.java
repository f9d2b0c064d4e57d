package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * Asks for one call of a plain service that may not be repeated.
 *
 * <p>Answered by {@link CallResponse} or a refusal whose verdict says whether the call may have run. Without an idempotency
 * key the call is guarded by a generated one. Immutable, thus thread-safe.
 */
public record CallRequest(
        TeamPath workload,
        ServiceName service,
        String method,
        String path,
        String contentType,
        ByteString body,
        Optional<String> idempotencyKey,
        long deadlineAtMs,
        Urgency urgency)
        implements CallerCommand {}
