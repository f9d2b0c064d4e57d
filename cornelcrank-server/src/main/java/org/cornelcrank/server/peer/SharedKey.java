package org.cornelcrank.server.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;

/**
 * Computes and verifies proofs that a peer holds the deployment's shared key.
 *
 * <p>Proofs are HMAC-SHA-256 over length-prefixed parts, so that bytes cannot be moved from one part to another. Proofs
 * are compared in constant time. Thread-safe.
 */
public final class SharedKey {

    static final int NONCE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates a key.
     *
     * @param secret the deployment's secret, not empty
     */
    public SharedKey(String secret) {
        if (secret.isEmpty()) {
            throw new IllegalArgumentException("shared key must not be empty");
        }
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    ByteString computeProof(ByteString... parts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            for (ByteString part : parts) {
                mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.size()));
                mac.update(part.asReadOnlyByteBuffer());
            }
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " must be available", e);
        }
    }

    boolean isValidProof(ByteString proof, ByteString... parts) {
        return MessageDigest.isEqual(proof.toByteArray(), computeProof(parts).toByteArray());
    }
}
