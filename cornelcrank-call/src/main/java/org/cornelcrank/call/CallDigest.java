package org.cornelcrank.call;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

/**
 * Computes the digest that distinguishes a repeated call from a different call with the same key.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CallDigest {

    private CallDigest() {}

    /** Returns the SHA-256 digest of everything that would be sent to the service. */
    static ByteString of(CallRequest call) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : new String[] {call.service().value(), call.method(), call.path(), call.contentType()}) {
                digest.update(part.getBytes(StandardCharsets.UTF_8));
                digest.update((byte) 0);
            }
            digest.update(call.body().asReadOnlyByteBuffer());
            return ByteString.copyFrom(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must have SHA-256", e);
        }
    }
}
