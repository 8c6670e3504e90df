package org.mangoridge.routing;

import java.time.Duration;

/**
 * How long the stages of an attempt may take before it is given up.
 *
 * @param reserve from asking for a slot to the answer
 * @param prefill from asking for KV cache to its end, waiting included
 * @param transfer from asking for a transfer to its end, waiting included
 * @param firstToken from asking for tokens to the first
 * @param token from one token to the next
 */
public record StageTimeouts(
        Duration reserve, Duration prefill, Duration transfer, Duration firstToken, Duration token) {

    /** Limits that only give up what is surely lost. */
    public static final StageTimeouts LONGEST = new StageTimeouts(
            Duration.ofSeconds(2),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ofSeconds(2));
}
