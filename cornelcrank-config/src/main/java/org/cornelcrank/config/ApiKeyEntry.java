package org.cornelcrank.config;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.TeamPath;

/**
 * A key of a team as the settings keep it: never the key itself, only a salted hash.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ApiKeyEntry(
        TeamPath team, String keyId, String saltHex, String hashHex, Caller.Scope scope, long expiresAtMs) {}
