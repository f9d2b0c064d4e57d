package org.cornelcrank.config;

/** The kind of a service. */
public enum ServiceKind {
    /** A model served by engines with an OpenAI-compatible API. */
    MODEL,
    /** A plain HTTP service. */
    PLAIN
}
