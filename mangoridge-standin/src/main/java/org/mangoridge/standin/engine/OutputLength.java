package org.mangoridge.standin.engine;

import java.util.Objects;

/** Chooses how long answers are and what they say, the same on every engine for the same prompt. */
public final class OutputLength {

    private static final int HUNDRED = 100;
    private static final int FULL_LENGTH_PERCENT = 30;

    private OutputLength() {}

    /** Returns the tokens of the answer to {@code prompt}; fewer than {@code maxTokens} if it ends by itself. */
    public static int of(String prompt, int maxTokens, int shortest) {
        int draw = Math.floorMod(Objects.hash(prompt, maxTokens) * 0x9E3779B9, HUNDRED * HUNDRED);
        if (maxTokens <= shortest || draw % HUNDRED < FULL_LENGTH_PERCENT) {
            return maxTokens;
        }
        double share = (draw / HUNDRED) / (double) HUNDRED;
        return Math.max(shortest, (int) Math.ceil(maxTokens * Math.max(share, 1.0 / maxTokens)));
    }
}
