package org.mangoridge.routing;

import java.time.Duration;

/**
 * The timeouts of the stages of an attempt; the attempt fails when one expires.
 *
 * @param reserve from the request for a decode slot to the response
 * @param prefill from the prefill request to its completion, waiting included
 * @param transfer from the transfer request to its completion, waiting included
 * @param firstToken from the decode request to the first token
 * @param token from one token to the next
 */
public record StageTimeouts(
        Duration reserve, Duration prefill, Duration transfer, Duration firstToken, Duration token) {

    /** Timeouts without a forecast, so long that an attempt which exceeds them is certainly lost. */
    public static final StageTimeouts LONGEST = new StageTimeouts(
            Duration.ofSeconds(2),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30),
            Duration.ofSeconds(2));
}
