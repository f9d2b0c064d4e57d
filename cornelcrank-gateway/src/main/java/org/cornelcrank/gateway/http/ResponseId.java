package org.cornelcrank.gateway.http;

/** How the request id that a response states relates to the id of the request that was sent. */
public enum ResponseId {

    /** The response states the id of the request, and no other. */
    EQUAL,

    /** The response states no id. */
    ABSENT,

    /** The response states another id. */
    OTHER
}
