package org.cornelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.zip.CRC32;

/**
 * Derives the text that an engine generates from the prompt, so that a test can check that a response is complete and
 * belongs to its request.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class GeneratedText {

    private static final int MIN_TOKENS = 16;
    private static final int MAX_TOKENS = 64;
    private static final int RADIX = 36;

    private GeneratedText() {}

    /** Returns the text of one token; every token except the first starts with a space. */
    public static String token(String prompt, int index) {
        long word = new SplittableRandom(seed(prompt) + index).nextInt(1, Integer.MAX_VALUE);
        return (index == 0 ? "" : " ") + Long.toString(word, RADIX);
    }

    /** Returns the complete text for a prompt, with the given number of tokens. */
    public static String of(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(prompt, index));
        }
        return text.toString();
    }

    /** Returns the number of tokens generated for a prompt if the request sets no limit. */
    public static int defaultTokens(String prompt) {
        return new SplittableRandom(seed(prompt)).nextInt(MIN_TOKENS, MAX_TOKENS + 1);
    }

    private static long seed(String prompt) {
        CRC32 checksum = new CRC32();
        checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() << 20;
    }
}
