package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.function.Supplier;

import org.mangoridge.core.Checks;

/**
 * Detects that this instance lacks a change of the store that a peer has, such as when its watch is stuck; confined to
 * one thread.
 *
 * <p>The query that is then made can get stuck too, so that it is due again, after increasing times, until it succeeds.
 */
public final class StoreLag {

    /** Bounds the time between two queries, as a power of two times the tolerance. */
    private static final int MAX_DOUBLINGS = 2;

    private final Supplier<Duration> tolerance;
    private long expected = -1;
    private Duration since = Duration.ZERO;
    private int queries;

    private StoreLag(Supplier<Duration> tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Returns a detector of an instance that does not lag.
     *
     * @param tolerance how long a change that a peer has may take to arrive here
     */
    public static StoreLag create(Duration tolerance) {
        Checks.argument(tolerance.isPositive(), "tolerance must be positive: %s", tolerance);
        return new StoreLag(() -> tolerance);
    }

    /** Returns the same with a tolerance that may change, always positive. */
    public static StoreLag create(Supplier<Duration> tolerance) {
        return new StoreLag(Checks.notNull(tolerance, "tolerance"));
    }

    /**
     * Returns whether the store is to be queried now; to be called several times a second.
     *
     * @param own the newest version that this instance has
     * @param newest the newest version that any peer has
     */
    public boolean queryDue(long own, long newest, Duration now) {
        if (own >= newest) {
            expected = -1;
            return false;
        }
        if (expected < 0 || own >= expected) {
            expected = newest;
            since = now;
            queries = 0;
            return false;
        }
        if (now.minus(since).compareTo(tolerance.get().multipliedBy(1L << Math.min(queries, MAX_DOUBLINGS))) < 0) {
            return false;
        }
        since = now;
        queries++;
        return true;
    }

    /** Forgets what was expected, such as when the versions of the store have gone back. */
    public void reset() {
        expected = -1;
    }
}
