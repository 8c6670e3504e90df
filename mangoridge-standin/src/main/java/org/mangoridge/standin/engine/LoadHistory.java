package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Delays load reports: returns a sample that is at least {@code lag} old. */
final class LoadHistory {

    private static final int MAX_SAMPLES = 256;

    /**
     * A sample of the load.
     *
     * @param slotsUsed the slots held
     * @param piecesUsed the memory pieces held
     * @param prefillQueueTokens the tokens that wait for prefill or are in it
     * @param attempts the attempts that hold slots
     * @param takenAt when it was taken
     */
    record Sample(int slotsUsed, int piecesUsed, long prefillQueueTokens, List<String> attempts, Duration takenAt) {}

    private final Duration lag;
    private final Deque<Sample> samples = new ArrayDeque<>();

    LoadHistory(Duration lag) {
        this.lag = lag;
    }

    /** Adds a sample and returns the newest one that is older by at least the lag, or else the oldest. */
    Sample addAndDelay(Sample fresh) {
        samples.addLast(fresh);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
        Sample delayed = samples.peekFirst();
        for (Sample sample : samples) {
            if (fresh.takenAt().minus(sample.takenAt()).compareTo(lag) >= 0) {
                delayed = sample;
            }
        }
        while (samples.peekFirst() != delayed) {
            samples.removeFirst();
        }
        return delayed;
    }
}
