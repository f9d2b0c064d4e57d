package org.cornelcrank.config;

/** Says what a service is. */
public enum ServiceKind {
    /** A model behind an engine with the OpenAI-compatible interface. */
    MODEL,
    /** A plain HTTP service. */
    PLAIN
}
