package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Answers questions about the load with an earlier look at it. */
final class LoadHistory {

    private static final int MAX_LOOKS = 256;

    /**
     * A look at the load.
     *
     * @param slotsUsed the slots held
     * @param piecesUsed the memory pieces held
     * @param prefillQueueTokens the tokens that wait for prefill or are in it
     * @param attempts the attempts that hold slots
     * @param taken when it was taken
     */
    record Look(int slotsUsed, int piecesUsed, long prefillQueueTokens, List<String> attempts, Duration taken) {}

    private final Duration lag;
    private final Deque<Look> looks = new ArrayDeque<>();

    LoadHistory(Duration lag) {
        this.lag = lag;
    }

    /** Adds a look and returns the newest that is at least the lag old at its time, or the oldest there is. */
    Look addAndDelay(Look fresh) {
        looks.addLast(fresh);
        if (looks.size() > MAX_LOOKS) {
            looks.removeFirst();
        }
        Look best = looks.peekFirst();
        for (Look look : looks) {
            if (fresh.taken().minus(look.taken()).compareTo(lag) >= 0) {
                best = look;
            }
        }
        while (looks.peekFirst() != best) {
            looks.removeFirst();
        }
        return best;
    }
}
