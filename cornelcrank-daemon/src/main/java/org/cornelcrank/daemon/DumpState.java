package org.cornelcrank.daemon;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.HostId;

/**
 * Asks for the state of a daemon, whole or one section.
 *
 * <p>{@code host} names another daemon to ask; empty for the one that is asked. Immutable, thus thread-safe.
 */
public record DumpState(Optional<HostId> host, Optional<String> section) implements CallerCommand {}
