package org.mangoridge.standin.platform;

/**
 * The faults that a stand-in platform shows; safe for use by several threads.
 *
 * <p>Counted faults hit the next calls of their kind and then stop.
 */
public final class PlatformFaults {

    /**
     * A change of the faults, as {@code POST /faults} takes it; a null leaves the fault as it is.
     *
     * @param outage whether no call is answered
     * @param slowMillis how long each call takes
     * @param lostAnswers how many writes take effect without an answer
     * @param delayedWrites how many writes are held back without an answer
     * @param staleReads how many reads give the value before the last write
     * @param watchGaps how many watches have lost changes
     * @param releaseWrites whether the writes held back are tried now
     * @param saveCopy whether a copy of all objects is kept for {@code restoreCopy}
     * @param restoreCopy whether all objects and the revision go back to the copy
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

    /** Holds back the next {@code writes} writes, which get no answer. */
    public synchronized void delayWrites(int writes) {
        delayedWrites = writes;
    }

    /** Answers the next {@code reads} reads of single objects with the value before the last write. */
    public synchronized void staleReads(int reads) {
        staleReads = reads;
    }

    /** Answers the next {@code watches} watches that changes were lost. */
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

    synchronized boolean isOut() {
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
