package org.cornelcrank.gateway.http;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;

/**
 * Reads and writes heads as a platform's callers and targets know them.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface GatewayDialect {

    /** Reads the head of a caller's request. */
    HeadResult readRequest(String method, String uri, HttpHeaders headers);

    /** Returns the head of a request that the core has prepared. */
    RequestHead prepare(DispatchSource.Prepared prepared);

    /**
     * Returns the headers of a request to a target.
     *
     * @param remainingMs how long the target may take
     * @param lastEventId the event after which a broken stream goes on, empty for a request that starts
     */
    HttpHeaders targetHeaders(RequestHead head, TargetId target, long remainingMs, OptionalLong lastEventId);

    /** Reads the head of a target's answer to the request of the id. */
    TargetResponseHead readAnswer(int status, HttpHeaders headers, String requestId);

    /** Returns the status that tells a caller of a refusal; a promise that it has not run only where that is true. */
    int status(Refusal refusal);

    /** Returns the headers that go with a refusal. */
    HttpHeaders refusalHeaders(Refusal refusal, String requestId);

    /** Returns the path at which the balancer asks whether this daemon takes requests. */
    String readinessPath();
}
