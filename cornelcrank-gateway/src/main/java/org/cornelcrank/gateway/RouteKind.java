package org.cornelcrank.gateway;

/** Says what the requests of a route are, and so what may be repeated. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run once at the most. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; may run once at the most, unless its route is resumable. */
    STREAM,
    /** Jobs of many items that run later. */
    BATCH
}
