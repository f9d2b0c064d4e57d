package org.cornelcrank.core;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Computes 64-bit hashes of text and bytes that are the same on every host and in every version of the program.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class StableHash {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private StableHash() {}

    public static long of(String text) {
        return HASHER.hashCharsToLong(text);
    }

    public static long of(byte[] bytes) {
        return HASHER.hashBytesToLong(bytes);
    }

    /** Returns the hash of a pair of texts, which differs from the hash of their concatenation. */
    public static long of(String first, String second) {
        return HASHER.hashStream().putString(first).putString(second).getAsLong();
    }
}
