package org.mangoridge.bench.load;

import java.time.Duration;

/**
 * The requests of one caller class.
 *
 * @param name the class
 * @param firstToken the target for the time to the first token
 * @param perToken the target for the mean time between tokens
 * @param canWait whether its requests may wait beyond the first-token target
 * @param maxWait how long beyond, zero if they can't wait
 * @param callers how many callers send them
 * @param share its share of all requests, from 0 to 1
 * @param ownPrompt the tokens of a prompt that no other request shares
 * @param documents how many documents prompts begin with
 * @param documentLength the tokens of those documents
 * @param maxTokens the most tokens that a request asks for
 */
public record TrafficClass(
        String name,
        Duration firstToken,
        Duration perToken,
        boolean canWait,
        Duration maxWait,
        int callers,
        double share,
        LengthDistribution ownPrompt,
        int documents,
        LengthDistribution documentLength,
        LengthDistribution maxTokens) {

    /** Returns the longest time to the first token that still meets the target. */
    public Duration latestFirstToken() {
        return firstToken.plus(maxWait);
    }

    /** Returns the name of a caller, counted from 1. */
    public String caller(int number) {
        return name + "-" + number;
    }
}
