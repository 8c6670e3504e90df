package org.mangoridge.standin.engine;

/**
 * Counts of the work that an engine has done since it started.
 *
 * @param prefillTokens the prompt tokens that were computed, without those found in the prefix cache
 * @param wastedPrefillTokens the computed prompt tokens whose result was never used to generate a token
 * @param decodedTokens the tokens generated
 * @param slotMillis the time that slots were held, in milliseconds
 * @param requestsRun the number of requests for which any work ran, among those that are remembered
 */
public record EngineCounts(
        long prefillTokens, long wastedPrefillTokens, long decodedTokens, long slotMillis, int requestsRun) {

    /** Returns the sum of these counts and those of another engine. */
    public EngineCounts plus(EngineCounts other) {
        return new EngineCounts(
                prefillTokens + other.prefillTokens,
                wastedPrefillTokens + other.wastedPrefillTokens,
                decodedTokens + other.decodedTokens,
                slotMillis + other.slotMillis,
                requestsRun + other.requestsRun);
    }

    /** Returns the work done since {@code earlier}. */
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
