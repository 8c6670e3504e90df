package org.mangoridge.standin.engine;

/**
 * The faults of an engine; absent ones are off.
 *
 * @param dead drops every connection and forgets everything it held
 * @param stalled makes no progress with prefill and decoding, and goes on to answer
 * @param silent connections that are open when this is switched on bring nothing more; new ones work
 * @param crossedEvery before every token whose index this divides, sends an event of another attempt; 0 for never
 * @param ignoresFencing obeys orders with old fencing numbers
 * @param cacheEventGap loses every cache event whose number this divides; 0 for the profile's
 * @param slowFactor the factor on all times; 0 counts as 1
 * @param linkStalled its link brings nothing
 */
public record EngineFaults(
        boolean dead,
        boolean stalled,
        boolean silent,
        int crossedEvery,
        boolean ignoresFencing,
        int cacheEventGap,
        double slowFactor,
        boolean linkStalled) {

    private static final EngineFaults NONE = new EngineFaults(false, false, false, 0, false, 0, 1, false);

    public EngineFaults {
        slowFactor = slowFactor <= 0 ? 1 : slowFactor;
    }

    /** Returns no fault. */
    public static EngineFaults none() {
        return NONE;
    }

    /** Returns an engine that is gone. */
    public static EngineFaults crash() {
        return new EngineFaults(true, false, false, 0, false, 0, 1, false);
    }

    /** Returns an engine that makes no progress. */
    public static EngineFaults stall() {
        return new EngineFaults(false, true, false, 0, false, 0, 1, false);
    }

    /** Returns an engine whose open connections go silent. */
    public static EngineFaults silence() {
        return new EngineFaults(false, false, true, 0, false, 0, 1, false);
    }

    /** Returns an engine that sends events of other attempts before every token whose index {@code every} divides. */
    public static EngineFaults crossed(int every) {
        return new EngineFaults(false, false, false, every, false, 0, 1, false);
    }

    /** Returns an engine that needs {@code factor} times as long for everything. */
    public static EngineFaults slow(double factor) {
        return new EngineFaults(false, false, false, 0, false, 0, factor, false);
    }

    /** Returns an engine whose link brings nothing. */
    public static EngineFaults stalledLink() {
        return new EngineFaults(false, false, false, 0, false, 0, 1, true);
    }

    /** Returns an engine that obeys orders with old fencing numbers. */
    public static EngineFaults unfenced() {
        return new EngineFaults(false, false, false, 0, true, 0, 1, false);
    }
}
