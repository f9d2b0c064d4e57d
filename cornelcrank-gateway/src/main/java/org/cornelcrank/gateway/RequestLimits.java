package org.cornelcrank.gateway;

/**
 * Bounds what a caller may send, and how long a connection may stay idle.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits before any table of routes is known: what HTTP servers commonly allow. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
