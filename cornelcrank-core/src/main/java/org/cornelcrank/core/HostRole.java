package org.cornelcrank.core;

/** Says what a host of the platform's list is for. */
public enum HostRole {
    /** Runs a daemon. */
    ENTRY,
    /** Runs a model engine or a plain service. */
    TARGET
}
