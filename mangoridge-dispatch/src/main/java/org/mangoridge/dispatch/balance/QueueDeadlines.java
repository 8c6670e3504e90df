package org.mangoridge.dispatch.balance;

import java.time.Duration;

import org.mangoridge.dispatch.config.Route;

/**
 * The deadlines of a model request that waits for capacity, as monotonic times.
 *
 * @param arrived when the request arrived
 * @param onTimeUntil when the first token is due to meet the latency target
 * @param giveUpAt when to stop waiting, because the caller would time out before the first token
 */
public record QueueDeadlines(Duration arrived, Duration onTimeUntil, Duration giveUpAt) {

    /** Callers are assumed to wait this long for the next event, or for the multiples below if they are longer. */
    private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

    private static final int CALLER_TIMEOUT_LATENCY_TARGETS = 4;
    private static final int CALLER_TIMEOUT_GAP_TARGETS = 8;
    /** Share of the caller's assumed timeout that a request may wait; the rest is for prefill and the first token. */
    private static final double WAITING_SHARE = 0.7;

    /** Returns the deadlines of a request of {@code route}. */
    public static QueueDeadlines of(Route route, Duration arrived, Duration deadline) {
        Duration callerTimeout = min(callerPatience(route), deadline.minus(arrived));
        Duration maxWait = Duration.ofNanos((long) (callerTimeout.toNanos() * WAITING_SHARE));
        return new QueueDeadlines(arrived, arrived.plus(route.latencyTarget()), arrived.plus(maxWait));
    }

    /** Returns how late the request is; in the second half of the time in which it is late, it is about to end. */
    public PlacementTarget.Lateness lateness(Duration now) {
        if (now.compareTo(onTimeUntil) < 0) {
            return PlacementTarget.Lateness.ON_TIME;
        }
        Duration ending = onTimeUntil.plus(giveUpAt.minus(onTimeUntil).dividedBy(2));
        return now.compareTo(ending) < 0 ? PlacementTarget.Lateness.LATE : PlacementTarget.Lateness.ENDING;
    }

    /** Returns the time without an event after which callers of a route are assumed to leave. */
    public static Duration callerPatience(Route route) {
        return max(
                MIN_CALLER_TIMEOUT,
                max(
                        route.latencyTarget().multipliedBy(CALLER_TIMEOUT_LATENCY_TARGETS),
                        route.gapTarget().multipliedBy(CALLER_TIMEOUT_GAP_TARGETS)));
    }

    private static Duration max(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
