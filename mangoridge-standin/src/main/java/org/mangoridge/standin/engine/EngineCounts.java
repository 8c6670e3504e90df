package org.mangoridge.standin.engine;

/**
 * What an engine truly did since it started.
 *
 * @param prefillTokens the prompt tokens that were computed, without those found in the prefix cache
 * @param wastedPrefillTokens those of them whose result no token was generated from
 * @param decodedTokens the tokens generated
 * @param slotMillis the time that slots were held, in milliseconds
 * @param requestsRun how many of the remembered requests ran anything
 */
public record EngineCounts(
        long prefillTokens, long wastedPrefillTokens, long decodedTokens, long slotMillis, int requestsRun) {

    /** Returns the counts of two engines together. */
    public EngineCounts plus(EngineCounts other) {
        return new EngineCounts(
                prefillTokens + other.prefillTokens,
                wastedPrefillTokens + other.wastedPrefillTokens,
                decodedTokens + other.decodedTokens,
                slotMillis + other.slotMillis,
                requestsRun + other.requestsRun);
    }

    /** Returns what was done since {@code earlier}. */
    public EngineCounts since(EngineCounts earlier) {
        return new EngineCounts(
                prefillTokens - earlier.prefillTokens,
                wastedPrefillTokens - earlier.wastedPrefillTokens,
                decodedTokens - earlier.decodedTokens,
                slotMillis - earlier.slotMillis,
                requestsRun - earlier.requestsRun);
    }

    /** Returns the counts of an engine that did nothing. */
    public static EngineCounts none() {
        return new EngineCounts(0, 0, 0, 0, 0);
    }
}
