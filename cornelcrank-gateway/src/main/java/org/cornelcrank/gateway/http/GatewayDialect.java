package org.cornelcrank.gateway.http;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;

/**
 * Translates the heads of HTTP requests and responses from and to the format of a platform.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface GatewayDialect {

    /** Reads the head of a caller's request. */
    HeadResult readRequest(String method, String uri, HttpHeaders headers);

    /** Returns the id of a caller's request, or null if it has none. */
    String requestId(HttpHeaders headers);

    /** Returns the head of a request that was prepared by the core instead of received from a caller. */
    RequestHead prepare(DispatchSource.Prepared prepared);

    /**
     * Returns the headers of a request to a target, without the time that it has left.
     *
     * @param lastEventId the event after which an interrupted stream resumes, empty for a request from the start
     */
    HttpHeaders targetHeaders(RequestHead head, TargetId target, OptionalLong lastEventId);

    /** Sets in the headers of a request to a target the time that the target has left to respond, in ms. */
    void setRemainingTime(HttpHeaders headers, long remainingMs);

    /** Reads the head of a target's response to the request with the id. */
    TargetResponseHead readResponse(int status, HttpHeaders headers, String requestId);

    /**
     * Returns the HTTP status of a refusal; a status that means that the request has not run is returned only if that
     * is certain.
     */
    int status(Refusal refusal);

    /** Returns whether a caller takes the HTTP status to mean that its request has not run and never will. */
    boolean meansNotRun(int status);

    /** Returns the response headers of a refusal. */
    HttpHeaders refusalHeaders(Refusal refusal, String requestId);

    /** Returns the path at which load balancers probe whether this daemon accepts requests. */
    String readinessPath();
}
