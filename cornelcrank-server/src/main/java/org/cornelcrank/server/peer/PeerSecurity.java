package org.cornelcrank.server.peer;

import java.util.Optional;

/**
 * What a daemon shows its peers and demands of them.
 *
 * <p>Immutable, thus thread-safe.
 */
public record PeerSecurity(PeerIdentity identity, SharedKey key, Optional<PeerTls> tls) {}
