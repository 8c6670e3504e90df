package org.mangoridge.standin.engine;

/**
 * What an engine can do.
 *
 * @param role prefill, decode or both
 * @param model the model loaded at the start
 * @param version its version
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param sizes its sizes
 * @param rates its rates
 */
public record EngineProfile(
        String role, String model, String version, boolean checksFencing, EngineSizes sizes, EngineRates rates) {

    /** Returns an engine of the sizes that the brief names, which checks fencing numbers. */
    public static EngineProfile of(String role, String model, String version) {
        return new EngineProfile(role, model, version, true, EngineSizes.standard(), EngineRates.standard());
    }

    /** Returns the same engine with the check of fencing numbers on or off. */
    public EngineProfile withFencingCheck(boolean checked) {
        return new EngineProfile(role, model, version, checked, sizes, rates);
    }

    /** Returns the same engine with other sizes. */
    public EngineProfile withSizes(EngineSizes newSizes) {
        return new EngineProfile(role, model, version, checksFencing, newSizes, rates);
    }

    /** Returns the same engine with other rates. */
    public EngineProfile withRates(EngineRates newRates) {
        return new EngineProfile(role, model, version, checksFencing, sizes, newRates);
    }
}
