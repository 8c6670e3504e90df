package org.mangoridge.standin.engine;

/**
 * The capabilities of a simulated engine.
 *
 * @param role prefill, decode or both
 * @param model the model loaded at the start
 * @param version the version of that model
 * @param checksFencing whether it refuses an order with a stale fencing token
 * @param sizes its capacity
 * @param rates its speed
 */
public record EngineProfile(
        String role, String model, String version, boolean checksFencing, EngineSizes sizes, EngineRates rates) {

    /** Returns an engine of standard sizes and rates that checks fencing tokens. */
    public static EngineProfile of(String role, String model, String version) {
        return new EngineProfile(role, model, version, true, EngineSizes.standard(), EngineRates.standard());
    }

    /** Returns this profile with the check of fencing tokens on or off. */
    public EngineProfile withFencingCheck(boolean checked) {
        return new EngineProfile(role, model, version, checked, sizes, rates);
    }

    /** Returns this profile with other sizes. */
    public EngineProfile withSizes(EngineSizes newSizes) {
        return new EngineProfile(role, model, version, checksFencing, newSizes, rates);
    }

    /** Returns this profile with other rates. */
    public EngineProfile withRates(EngineRates newRates) {
        return new EngineProfile(role, model, version, checksFencing, sizes, newRates);
    }
}
