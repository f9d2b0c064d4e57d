package org.cornelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Splits a prompt into the blocks in which an engine caches it.
 *
 * <p>The name of a block depends on all text up to its end, so that equal names mean equal prefixes. Stateless, thus
 * thread-safe.
 */
final class PromptBlocks {

    static final int TOKENS_PER_BLOCK = 64;

    private static final int CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CompletionRequest.CHARACTERS_PER_TOKEN;

    private PromptBlocks() {}

    /** Returns the names of the complete blocks of a prompt; an incomplete last block is never cached. */
    static List<Long> of(String prompt) {
        List<Long> names = new ArrayList<>();
        CRC32 checksum = new CRC32();
        for (int end = CHARACTERS_PER_BLOCK; end <= prompt.length(); end += CHARACTERS_PER_BLOCK) {
            checksum.update(prompt.substring(end - CHARACTERS_PER_BLOCK, end).getBytes(StandardCharsets.UTF_8));
            names.add((long) end << Integer.SIZE | checksum.getValue());
        }
        return names;
    }
}
