package org.mangoridge.routing;

import java.time.Duration;

/** Derives the timeouts of an attempt's stages from their forecast times. */
final class StageTimeoutCalculator {

    private static final Duration RESERVE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration PREFILL_MARGIN = Duration.ofSeconds(1);
    private static final Duration TRANSFER_MARGIN = Duration.ofMillis(200);
    private static final Duration FIRST_TOKEN_MARGIN = Duration.ofSeconds(1);
    private static final Duration TOKEN_MARGIN = Duration.ofMillis(800);

    /** A stage may take this many times its forecast, plus its margin. */
    private static final double FORECAST_MULTIPLIER = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private StageTimeoutCalculator() {}

    /** Returns the timeouts of an attempt on {@code candidate}. */
    static StageTimeouts timeouts(Candidate candidate) {
        Duration prefill = timeout(candidate.prefillSeconds(), PREFILL_MARGIN);
        Duration token = timeout(candidate.tokenSeconds(), TOKEN_MARGIN);
        double transferSeconds = candidate.linkWaitSeconds() + candidate.transferSeconds();
        Duration firstToken = timeout(candidate.tokenSeconds(), FIRST_TOKEN_MARGIN);
        return new StageTimeouts(
                RESERVE_TIMEOUT,
                prefill,
                timeout(transferSeconds, TRANSFER_MARGIN),
                candidate.needsTransfer() ? firstToken : firstToken.plus(prefill),
                token);
    }

    private static Duration timeout(double forecastSeconds, Duration margin) {
        return margin.plusNanos((long) (forecastSeconds * FORECAST_MULTIPLIER * NANOS_PER_SECOND));
    }
}
