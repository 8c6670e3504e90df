package org.mangoridge.standin.engine;

import java.util.Objects;

/** Determines the length of generated outputs; every engine gives the same length for the same prompt and limit. */
public final class OutputLength {

    private static final int ONE_HUNDRED_PERCENT = 100;
    private static final int FULL_LENGTH_PERCENT = 30;

    private OutputLength() {}

    /** Returns the output length for {@code prompt} in tokens; shorter than {@code maxTokens} if it stops early. */
    public static int of(String prompt, int maxTokens, int minTokens) {
        int hash =
                Math.floorMod(Objects.hash(prompt, maxTokens) * 0x9E3779B9, ONE_HUNDRED_PERCENT * ONE_HUNDRED_PERCENT);
        if (maxTokens <= minTokens || hash % ONE_HUNDRED_PERCENT < FULL_LENGTH_PERCENT) {
            return maxTokens;
        }
        double fraction = (hash / ONE_HUNDRED_PERCENT) / (double) ONE_HUNDRED_PERCENT;
        return Math.max(minTokens, (int) Math.ceil(maxTokens * Math.max(fraction, 1.0 / maxTokens)));
    }
}
