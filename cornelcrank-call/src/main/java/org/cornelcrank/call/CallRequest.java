package org.cornelcrank.call;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * Command that runs one non-repeatable call of a plain service.
 *
 * <p>The reply is {@link CallResponse} or a refusal whose verdict states whether the call may have run. A call without
 * an idempotency key is guarded by a generated one. Immutable, thus thread-safe.
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
