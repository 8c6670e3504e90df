package org.mangoridge.bench.scenario;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The parts of one segment of load under one policy.
 *
 * @param warmUp the load before the measured interval
 * @param measured the measured interval
 * @param coolDown the load after it, which keeps the servers busy while measured requests end
 */
public record SegmentTimes(Duration warmUp, Duration measured, Duration coolDown) {

    private static final double WARM_UP_SHARE = 1.0 / 6;
    private static final double COOL_DOWN_SHARE = 1.0 / 6;

    public SegmentTimes {
        Checks.argument(measured.isPositive(), "measured must be positive: %s", measured);
    }

    /** Returns the parts of a segment of the length {@code whole}. */
    public static SegmentTimes of(Duration whole) {
        Duration warmUp = share(whole, WARM_UP_SHARE);
        Duration coolDown = share(whole, COOL_DOWN_SHARE);
        return new SegmentTimes(warmUp, whole.minus(warmUp).minus(coolDown), coolDown);
    }

    /** Returns the whole length. */
    public Duration whole() {
        return warmUp.plus(measured).plus(coolDown);
    }

    /** Returns the time in the segment that a share of the measured interval has passed at. */
    public Duration measuredAt(double share) {
        return warmUp.plus(share(measured, share));
    }

    /** Tells whether a time in the segment belongs to the measured interval. */
    public boolean isMeasured(Duration at) {
        return at.compareTo(warmUp) >= 0 && at.compareTo(warmUp.plus(measured)) < 0;
    }

    private static Duration share(Duration whole, double share) {
        return Duration.ofNanos(Math.round(whole.toNanos() * share));
    }
}
