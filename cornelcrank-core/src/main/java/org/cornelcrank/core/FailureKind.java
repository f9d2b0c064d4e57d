package org.cornelcrank.core;

/** Names the ways in which an attempt on a target fails. */
public enum FailureKind {
    /** No connection came about; the target got no byte. */
    CONNECTION_REFUSED,
    /** The connection broke after the request was sent. */
    CONNECTION_LOST,
    /** The target has ended, or can no longer be reached, after the request was sent. */
    TARGET_GONE,
    /** The target did not answer or did not go on in time. */
    TIMED_OUT,
    /** The target refused the request for its own fault (HTTP 4xx but 429). */
    REJECTED,
    /** The target has no room at present (HTTP 429 or 503). */
    OVERLOADED,
    /** The target failed (other HTTP 5xx). */
    TARGET_ERROR,
    /** The daemon cancelled the attempt. */
    CANCELLED,
    /** The answer was longer than the daemon accepts. */
    ANSWER_TOO_LARGE
}
