package org.mangoridge.core.prefix;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes hashes of the prefixes of a prompt; they are the same in every process.
 *
 * <p>A prefix ends after each whole block of {@link #BLOCK_TOKENS} tokens; a trailing partial block has no hash. Two
 * prompts have the same first {@code n} hashes if the text of their first {@code n} blocks is the same.
 */
public final class PrefixHashes {

    /** The length of a block in tokens. */
    public static final int BLOCK_TOKENS = 256;

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PrefixHashes() {}

    /** Returns the prefix hashes of {@code prompt}, the shortest prefix first; empty if it is shorter than a block. */
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

    /** Returns the number of tokens of {@code prompt}, estimated from its length; at least 1. */
    public static int estimateTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }
}
