package org.cornelcrank.gateway;

/** The kind of a route's requests, which determines whether they may be retried. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; may run at most once, unless the route is resumable. */
    STREAM,
    /** Jobs of many items that run later. */
    BATCH
}
