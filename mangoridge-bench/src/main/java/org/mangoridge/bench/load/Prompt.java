package org.mangoridge.bench.load;

import java.util.SplittableRandom;

/**
 * A prompt that is written out only when it is sent.
 *
 * @param documentSeed decides the text of the document it begins with
 * @param documentTokens the document's tokens
 * @param ownSeed decides the rest of the text
 * @param ownTokens the tokens of the rest
 */
public record Prompt(long documentSeed, int documentTokens, long ownSeed, int ownTokens) {

    private static final int LETTERS = 26;
    private static final int LETTERS_PER_TOKEN = 3;

    /** Returns the prompt's tokens. */
    public int tokens() {
        return documentTokens + ownTokens;
    }

    /** Returns the text, always the same. */
    public String text() {
        StringBuilder text = new StringBuilder(tokens() * (LETTERS_PER_TOKEN + 1));
        write(text, documentSeed, documentTokens);
        write(text, ownSeed, ownTokens);
        return text.toString();
    }

    private static void write(StringBuilder text, long seed, int tokens) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int token = 0; token < tokens; token++) {
            int draw = random.nextInt() >>> 1;
            for (int letter = 0; letter < LETTERS_PER_TOKEN; letter++) {
                text.append((char) ('a' + draw % LETTERS));
                draw /= LETTERS;
            }
            text.append(' ');
        }
    }
}
