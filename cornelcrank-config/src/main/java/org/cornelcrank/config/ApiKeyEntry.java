package org.cornelcrank.config;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.TeamPath;

/**
 * An API key of a team as stored in the settings: a salted hash, never the key itself.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ApiKeyEntry(
        TeamPath team, String keyId, String saltHex, String hashHex, Caller.Scope scope, long expiresAtMs) {}
