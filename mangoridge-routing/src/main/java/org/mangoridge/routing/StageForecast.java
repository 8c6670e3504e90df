package org.mangoridge.routing;

import java.time.Duration;

/** Derives the limits of an attempt's stages from what was forecast for them. */
final class StageForecast {

    private static final Duration RESERVE_LIMIT = Duration.ofMillis(500);
    private static final Duration PREFILL_MARGIN = Duration.ofSeconds(1);
    private static final Duration TRANSFER_MARGIN = Duration.ofMillis(200);
    private static final Duration FIRST_TOKEN_MARGIN = Duration.ofSeconds(1);
    private static final Duration TOKEN_MARGIN = Duration.ofMillis(800);
    private static final double DOUBT = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private StageForecast() {}

    /** Returns the limits of an attempt at {@code candidate}. */
    static StageLimits limits(Candidate candidate) {
        Duration prefill = limit(candidate.prefillSeconds(), PREFILL_MARGIN);
        Duration token = limit(candidate.tokenSeconds(), TOKEN_MARGIN);
        double transferSeconds = candidate.linkWaitSeconds() + candidate.transferSeconds();
        Duration firstToken = limit(candidate.tokenSeconds(), FIRST_TOKEN_MARGIN);
        return new StageLimits(
                RESERVE_LIMIT,
                prefill,
                limit(transferSeconds, TRANSFER_MARGIN),
                candidate.transfers() ? firstToken : firstToken.plus(prefill),
                token);
    }

    private static Duration limit(double forecastSeconds, Duration margin) {
        return margin.plusNanos((long) (forecastSeconds * DOUBT * NANOS_PER_SECOND));
    }
}
