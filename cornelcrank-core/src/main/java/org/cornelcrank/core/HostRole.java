package org.cornelcrank.core;

/** The purpose of a host in the platform's host list. */
public enum HostRole {
    /** Runs a daemon. */
    ENTRY,
    /** Runs a model engine or a plain service. */
    TARGET
}
