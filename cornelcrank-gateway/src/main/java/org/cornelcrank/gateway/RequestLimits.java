package org.cornelcrank.gateway;

/**
 * Limits the size of requests, and the time that a connection may take to send a header or stay idle.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits before the first route table is installed: values that are common for HTTP servers. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
