package org.mangoridge.standin.engine;

/**
 * The sizes of an engine.
 *
 * @param slots how many requests decode at once
 * @param pieces how many memory pieces there are
 * @param pieceTokens the tokens that a piece holds
 * @param cacheBlocks how many blocks of prompt prefixes the prefix cache holds
 * @param minOutputTokens an answer ends by itself only after this many tokens
 */
public record EngineSizes(int slots, int pieces, int pieceTokens, int cacheBlocks, int minOutputTokens) {

    private static final int SLOTS = 20;
    private static final int PIECES = 160;
    private static final int PIECE_TOKENS = 2048;
    private static final int CACHE_BLOCKS = 1024;
    private static final int MIN_OUTPUT_TOKENS = 16;

    /** Returns the sizes that the brief names. */
    public static EngineSizes standard() {
        return new EngineSizes(SLOTS, PIECES, PIECE_TOKENS, CACHE_BLOCKS, MIN_OUTPUT_TOKENS);
    }

    /** Returns the same sizes with another number of slots. */
    public EngineSizes withSlots(int newSlots) {
        return new EngineSizes(newSlots, pieces, pieceTokens, cacheBlocks, minOutputTokens);
    }

    /** Returns how many pieces hold {@code tokens}. */
    public int piecesFor(int tokens) {
        return Math.max(1, (tokens + pieceTokens - 1) / pieceTokens);
    }
}
