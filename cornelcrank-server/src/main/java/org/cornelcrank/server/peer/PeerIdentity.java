package org.cornelcrank.server.peer;

import org.cornelcrank.core.HostId;

/**
 * Identity of this daemon towards its peers.
 *
 * <p>Immutable, thus thread-safe.
 */
public record PeerIdentity(String deployment, HostId host, long incarnation) {}
