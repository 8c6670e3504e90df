package org.mangoridge.standin.platform;

/**
 * The faults injected into a stand-in platform; thread-safe.
 *
 * <p>A fault with a count affects that many of the next calls of its kind.
 */
public final class PlatformFaults {

    /**
     * A change of the faults, the body of {@code POST /faults}; null leaves a fault unchanged.
     *
     * @param outage whether no call is answered
     * @param slowMillis the delay of each call in milliseconds
     * @param lostAnswers how many writes take effect without an answer
     * @param delayedWrites how many writes are delayed without an answer
     * @param staleReads how many reads return the value before the last write
     * @param watchGaps how many watches report lost changes
     * @param releaseWrites whether the delayed writes are run now
     * @param saveCopy whether a copy of all objects is saved for {@code restoreCopy}
     * @param restoreCopy whether all objects and the revision are restored from the copy
     */
    public record Change(
            Boolean outage,
            Integer slowMillis,
            Integer lostAnswers,
            Integer delayedWrites,
            Integer staleReads,
            Integer watchGaps,
            boolean releaseWrites,
            boolean saveCopy,
            boolean restoreCopy) {}

    private boolean outage;
    private int slowMillis;
    private int lostAnswers;
    private int delayedWrites;
    private int staleReads;
    private int watchGaps;

    PlatformFaults() {}

    /** Starts or ends an outage. */
    public synchronized void outage(boolean on) {
        outage = on;
    }

    /** Makes each call over HTTP take {@code millis} longer. */
    public synchronized void slow(int millis) {
        slowMillis = millis;
    }

    /** Loses the answers of the next {@code writes} writes, which take effect. */
    public synchronized void loseAnswers(int writes) {
        lostAnswers = writes;
    }

    /** Delays the next {@code writes} writes until they are released, and leaves them without an answer. */
    public synchronized void delayWrites(int writes) {
        delayedWrites = writes;
    }

    /** Answers the next {@code reads} reads of single objects with the value before the last write. */
    public synchronized void staleReads(int reads) {
        staleReads = reads;
    }

    /** Makes the next {@code watches} watches report that changes were lost. */
    public synchronized void watchGaps(int watches) {
        watchGaps = watches;
    }

    synchronized void change(Change change) {
        outage = change.outage() == null ? outage : change.outage();
        slowMillis = orElse(change.slowMillis(), slowMillis);
        lostAnswers = orElse(change.lostAnswers(), lostAnswers);
        delayedWrites = orElse(change.delayedWrites(), delayedWrites);
        staleReads = orElse(change.staleReads(), staleReads);
        watchGaps = orElse(change.watchGaps(), watchGaps);
    }

    synchronized boolean isUnavailable() {
        return outage;
    }

    synchronized int slowMillis() {
        return slowMillis;
    }

    synchronized boolean takeLostAnswer() {
        return lostAnswers > 0 && lostAnswers-- > 0;
    }

    synchronized boolean takeDelayedWrite() {
        return delayedWrites > 0 && delayedWrites-- > 0;
    }

    synchronized boolean takeStaleRead() {
        return staleReads > 0 && staleReads-- > 0;
    }

    synchronized boolean takeWatchGap() {
        return watchGaps > 0 && watchGaps-- > 0;
    }

    private static int orElse(Integer value, int fallback) {
        return value == null ? fallback : value;
    }
}
