package org.cornelcrank.core;

/** Classifies how an attempt on a target failed. */
public enum FailureKind {
    /** No connection could be established, so the target received nothing. */
    CONNECTION_REFUSED,
    /** The connection broke after the request was sent. */
    CONNECTION_LOST,
    /** The target terminated or became unreachable after the request was sent. */
    TARGET_GONE,
    /** The daemon, or the one that relays the attempt, cannot reach the target, although others may. */
    PATH_LOST,
    /** The daemon that was to relay the attempt is unreachable or refuses to. */
    RELAY_FAILED,
    /** The target did not respond, or its response stalled, for longer than the timeout. */
    TIMED_OUT,
    /** The target rejected the request as invalid (HTTP 4xx other than 429). */
    REJECTED,
    /** The target currently has no capacity (HTTP 429 or 503). */
    OVERLOADED,
    /** The target failed (HTTP 5xx other than 503). */
    TARGET_ERROR,
    /** The daemon cancelled the attempt. */
    CANCELLED,
    /** The response exceeded the size that the daemon accepts. */
    ANSWER_TOO_LARGE
}
