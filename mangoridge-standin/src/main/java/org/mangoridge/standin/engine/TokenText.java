package org.mangoridge.standin.engine;

import java.util.Objects;

/** Makes the tokens of an answer, the same on every engine for the same prompt. */
public final class TokenText {

    private static final int WORDS = 1000;

    private TokenText() {}

    /** Returns the text of the token at {@code index} of the answer to {@code prompt}. */
    public static String of(String prompt, int index) {
        return " w" + Math.floorMod(Objects.hash(prompt, index), WORDS);
    }
}
