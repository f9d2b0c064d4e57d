package org.cornelcrank.core;

/**
 * Marker interface for a message between daemons.
 *
 * <p>Each slice declares its own sealed set of records and a {@link PeerMessageCodec} for them. Implementations are
 * immutable.
 */
public interface PeerMessage {}
