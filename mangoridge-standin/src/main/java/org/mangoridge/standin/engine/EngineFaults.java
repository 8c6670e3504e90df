package org.mangoridge.standin.engine;

/**
 * The faults injected into an engine; absent ones are off.
 *
 * @param dead drops every connection and loses all state
 * @param stalled makes no progress with prefill and decoding, but still answers calls
 * @param silent connections that are open when this is switched on deliver nothing more; new ones work
 * @param crossedEvery sends another attempt's event before each token whose index is a multiple of this; 0 for never
 * @param ignoresFencing accepts orders with stale fencing tokens
 * @param cacheEventGap loses the cache events whose number is a multiple of this; 0 for the profile's value
 * @param slowFactor the factor on all simulated durations; 0 counts as 1
 * @param linkStalled KV cache transfers make no progress
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

    /** Returns faults that are all off. */
    public static EngineFaults none() {
        return NONE;
    }

    /** Returns the faults of a crashed engine. */
    public static EngineFaults crash() {
        return new EngineFaults(true, false, false, 0, false, 0, 1, false);
    }

    /** Returns the faults of an engine that makes no progress. */
    public static EngineFaults stall() {
        return new EngineFaults(false, true, false, 0, false, 0, 1, false);
    }

    /** Returns the faults of an engine whose open connections go silent. */
    public static EngineFaults silence() {
        return new EngineFaults(false, false, true, 0, false, 0, 1, false);
    }

    /** Returns the faults of an engine that sends an event of another attempt before every {@code every}th token. */
    public static EngineFaults crossed(int every) {
        return new EngineFaults(false, false, false, every, false, 0, 1, false);
    }

    /** Returns the faults of an engine that is slower by {@code factor}. */
    public static EngineFaults slow(double factor) {
        return new EngineFaults(false, false, false, 0, false, 0, factor, false);
    }

    /** Returns the faults of an engine whose KV cache transfers make no progress. */
    public static EngineFaults stalledLink() {
        return new EngineFaults(false, false, false, 0, false, 0, 1, true);
    }

    /** Returns the faults of an engine that accepts orders with stale fencing tokens. */
    public static EngineFaults unfenced() {
        return new EngineFaults(false, false, false, 0, true, 0, 1, false);
    }
}
