package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes the secrets of API keys.
 *
 * <p>The secrets are long random strings, for which one round of SHA-256 with a salt suffices. Stateless, thus
 * thread-safe.
 */
public final class ApiKeys {

    private ApiKeys() {}

    /**
     * Returns the hash of a secret as stored in the settings.
     *
     * @param secret the part of the key after the dot
     * @param saltHex the salt, in hexadecimal
     * @return the hash, in hexadecimal
     */
    public static String hash(String secret, String saltHex) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(saltHex.getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 must be available", e);
        }
    }

    static boolean matches(String secret, String saltHex, String hashHex) {
        byte[] expected = hashHex.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(hash(secret, saltHex).getBytes(StandardCharsets.US_ASCII), expected);
    }
}
