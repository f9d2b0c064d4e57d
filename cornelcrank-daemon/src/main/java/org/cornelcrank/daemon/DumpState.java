package org.cornelcrank.daemon;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.HostId;

/**
 * Requests the state of a daemon, either all sections or one.
 *
 * <p>{@code host} selects the daemon; empty for the one that receives the command. Immutable, thus thread-safe.
 */
public record DumpState(Optional<HostId> host, Optional<String> section) implements CallerCommand {}
