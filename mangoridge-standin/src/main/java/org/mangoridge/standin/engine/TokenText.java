package org.mangoridge.standin.engine;

import java.util.Objects;

/** Generates token text; every engine generates the same tokens for the same prompt. */
public final class TokenText {

    private static final int VOCABULARY_SIZE = 1000;

    private TokenText() {}

    /** Returns the text of the token at {@code index} of the output for {@code prompt}. */
    public static String of(String prompt, int index) {
        return " w" + Math.floorMod(Objects.hash(prompt, index), VOCABULARY_SIZE);
    }
}
