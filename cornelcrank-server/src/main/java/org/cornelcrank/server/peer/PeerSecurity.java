package org.cornelcrank.server.peer;

import java.util.Optional;

/**
 * Credentials that a daemon presents to its peers and requires of them.
 *
 * <p>Immutable, thus thread-safe.
 */
public record PeerSecurity(PeerIdentity identity, SharedKey key, Optional<PeerTls> tls) {}
