package org.mangoridge.core.prefix;

import java.util.ArrayList;
import java.util.List;

/**
 * Names the prefixes of a prompt by hashes, the same in every process.
 *
 * <p>A prefix ends after each whole block of {@link #BLOCK_TOKENS} tokens; a rest shorter than a block has no name. Two
 * prompts share the first {@code n} hashes if they share the text of their first {@code n} blocks.
 */
public final class PrefixHashes {

    /** The tokens by which each prefix is longer than the one before it. */
    public static final int BLOCK_TOKENS = 256;

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PrefixHashes() {}

    /** Returns the hashes of the prefixes of {@code prompt}, the shortest first; empty for a short prompt. */
    public static List<Long> of(String prompt) {
        int blocks = prompt.length() / BLOCK_CHARACTERS;
        List<Long> hashes = new ArrayList<>(blocks);
        long hash = FNV_OFFSET;
        for (int index = 0; index < blocks * BLOCK_CHARACTERS; index++) {
            hash = (hash ^ prompt.charAt(index)) * FNV_PRIME;
            if ((index + 1) % BLOCK_CHARACTERS == 0) {
                hashes.add(hash);
            }
        }
        return List.copyOf(hashes);
    }

    /** Returns the tokens of {@code prompt}, estimated from its characters, at least 1. */
    public static int estimateTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }
}
