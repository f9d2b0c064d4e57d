package org.cornelcrank.cli.client;

import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.cornelcrank.server.http.ApiKeys;

/**
 * An API key, of which the settings store only a salted hash.
 *
 * <p>An expiry time of zero means that the key never expires. Immutable, thus thread-safe.
 */
public record ApiKey(String keyId, String secret, String saltHex, String scope, long expiresAtMs) {

    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 12;

    public ApiKey {
        Objects.requireNonNull(keyId, "keyId must not be null");
        Objects.requireNonNull(secret, "secret must not be null");
        Objects.requireNonNull(saltHex, "saltHex must not be null");
        Objects.requireNonNull(scope, "scope must not be null");
    }

    /** Creates a key with a random secret. */
    public static ApiKey create(String keyId, String scope, long expiresAtMs, RandomGenerator random) {
        return new ApiKey(keyId, randomHex(SECRET_BYTES, random), randomHex(SALT_BYTES, random), scope, expiresAtMs);
    }

    /** Returns the bearer token that a caller sends. */
    public String bearer() {
        return keyId + "." + secret;
    }

    /** Returns the path of the key's setting. */
    public String settingPath(String team) {
        return team + "/api-keys/" + keyId;
    }

    /** Returns the value of the key's setting. */
    public String settingValue() {
        String value = saltHex + ":" + ApiKeys.hash(secret, saltHex) + ":" + scope;
        return expiresAtMs == 0 ? value : value + ":" + expiresAtMs;
    }

    private static String randomHex(int bytes, RandomGenerator random) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        return HexFormat.of().formatHex(value);
    }
}
