package org.cornelcrank.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * An API key, and the salted hash by which the settings know it.
 *
 * <p>Immutable, thus thread-safe.
 */
record ApiKey(String keyId, String secret, String saltHex, String scope, long expiresAtMs) {

    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 12;

    ApiKey {
        Objects.requireNonNull(keyId, "keyId must not be null");
        Objects.requireNonNull(secret, "secret must not be null");
        Objects.requireNonNull(saltHex, "saltHex must not be null");
        Objects.requireNonNull(scope, "scope must not be null");
    }

    /** Creates a key with a random secret; an expiry of zero means never. */
    static ApiKey create(String keyId, String scope, long expiresAtMs, RandomGenerator random) {
        return new ApiKey(keyId, randomHex(SECRET_BYTES, random), randomHex(SALT_BYTES, random), scope, expiresAtMs);
    }

    /** Returns what a caller sends. */
    String bearer() {
        return keyId + "." + secret;
    }

    /** Returns the value of the key's setting. */
    String settingValue() {
        String value = saltHex + ":" + hashHex() + ":" + scope;
        return expiresAtMs == 0 ? value : value + ":" + expiresAtMs;
    }

    private String hashHex() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest((saltHex + secret).getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    private static String randomHex(int bytes, RandomGenerator random) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        return HexFormat.of().formatHex(value);
    }
}
