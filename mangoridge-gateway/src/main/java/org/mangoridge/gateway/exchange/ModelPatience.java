package org.mangoridge.gateway.exchange;

import java.time.Duration;

import org.mangoridge.gateway.config.Route;

/**
 * How long a model request may wait for room.
 *
 * @param arrived when it arrived
 * @param onTimeUntil when its first token must come to be on time
 * @param giveUpAt when its caller would no longer see a first token in time
 */
record ModelPatience(Duration arrived, Duration onTimeUntil, Duration giveUpAt) {

    /** A caller of a stream stays for this long without an event, or for a multiple of the target (letter 2). */
    private static final Duration CALLER_GAP = Duration.ofSeconds(2);

    private static final int CALLER_GAP_TARGETS = 4;
    private static final int CALLER_GAP_PAUSES = 8;
    /** The part of the caller's patience that waiting may use; the rest is for prefill and the first token. */
    private static final double WAITING_PART = 0.7;

    static ModelPatience of(Route route, Duration arrived, Duration deadline) {
        Duration gap = longest(
                CALLER_GAP,
                longest(
                        route.latencyTarget().multipliedBy(CALLER_GAP_TARGETS),
                        route.gapTarget().multipliedBy(CALLER_GAP_PAUSES)));
        Duration stays = shortest(gap, deadline.minus(arrived));
        Duration waits = Duration.ofNanos((long) (stays.toNanos() * WAITING_PART));
        return new ModelPatience(arrived, arrived.plus(route.latencyTarget()), arrived.plus(waits));
    }

    private static Duration longest(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private static Duration shortest(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }
}
