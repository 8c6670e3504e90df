package org.mangoridge.claims.store;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.time.Clock;

/** A token bucket that limits writes or retries; safe for use by several threads. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final double burst;
    private double tokensPerSecond;
    private double tokens;
    private Duration refilledAt;

    private TokenBucket(Clock clock, double tokensPerSecond, double burst) {
        this.clock = clock;
        this.tokensPerSecond = tokensPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAt = clock.elapsed();
    }

    /** Returns a full bucket with the given refill rate, which holds at most {@code burst} tokens. */
    public static TokenBucket create(Clock clock, double tokensPerSecond, int burst) {
        Checks.argument(tokensPerSecond > 0 && burst > 0, "rate and burst must be positive");
        return new TokenBucket(clock, tokensPerSecond, burst);
    }

    /** Changes the refill rate. */
    public synchronized void changeRate(double newTokensPerSecond) {
        Checks.argument(newTokensPerSecond > 0, "rate must be positive");
        refill();
        tokensPerSecond = newTokensPerSecond;
    }

    /** Takes {@code wanted} tokens; returns empty if it took them, otherwise the time until that many are available. */
    public synchronized Optional<Duration> take(int wanted) {
        refill();
        if (tokens >= wanted) {
            tokens -= wanted;
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos((long) Math.ceil((wanted - tokens) / tokensPerSecond * NANOS_PER_SECOND)));
    }

    private void refill() {
        Duration now = clock.elapsed();
        double gained = now.minus(refilledAt).toNanos() / NANOS_PER_SECOND * tokensPerSecond;
        tokens = Math.min(burst, tokens + gained);
        refilledAt = now;
    }
}
