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
    private double perSecond;
    private double tokens;
    private Duration filledAt;

    private TokenBucket(Clock clock, double perSecond, double burst) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledAt = clock.elapsed();
    }

    /** Returns a full bucket that gains {@code perSecond} tokens a second and holds at most {@code burst}. */
    public static TokenBucket create(Clock clock, double perSecond, int burst) {
        Checks.argument(perSecond > 0 && burst > 0, "rate and burst must be positive");
        return new TokenBucket(clock, perSecond, burst);
    }

    /** Changes the rate. */
    public synchronized void changeRate(double newPerSecond) {
        Checks.argument(newPerSecond > 0, "rate must be positive");
        fill();
        perSecond = newPerSecond;
    }

    /** Takes {@code wanted} tokens; empty if it did, else how long until there are as many. */
    public synchronized Optional<Duration> take(int wanted) {
        fill();
        if (tokens >= wanted) {
            tokens -= wanted;
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos((long) Math.ceil((wanted - tokens) / perSecond * NANOS_PER_SECOND)));
    }

    private void fill() {
        Duration now = clock.elapsed();
        double gained = now.minus(filledAt).toNanos() / NANOS_PER_SECOND * perSecond;
        tokens = Math.min(burst, tokens + gained);
        filledAt = now;
    }
}
