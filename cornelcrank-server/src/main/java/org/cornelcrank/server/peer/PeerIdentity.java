package org.cornelcrank.server.peer;

import org.cornelcrank.core.HostId;

/**
 * Says who this daemon is towards its peers.
 *
 * <p>Immutable, thus thread-safe.
 */
public record PeerIdentity(String deployment, HostId host, long incarnation) {}
