package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * Decides which requests an instance still sends to servers: all until it shuts down, and then those that are expected to
 * end before it stops; not thread-safe.
 *
 * <p>A request that would outlast the instance is better refused as not run, since another instance can serve it.
 */
public final class DrainAdmission {

    private final ServingTimes times = ServingTimes.create();
    private Optional<Duration> end = Optional.empty();
    private boolean closed;

    private DrainAdmission() {}

    /** Returns an admission that takes every request. */
    public static DrainAdmission create() {
        return new DrainAdmission();
    }

    /** Returns how long recent requests took. */
    public ServingTimes servingTimes() {
        return times;
    }

    /** Takes only requests that are expected to end by {@code time}, when the instance answers what is in progress. */
    public void endAt(Duration time) {
        end = Optional.of(time);
    }

    /** Takes no request any more. */
    public void close() {
        closed = true;
    }

    /**
     * Returns whether a request may be sent to a server now.
     *
     * @param deadline when the request gets its final answer at the latest
     */
    public boolean admits(Route route, TokenDemand tokens, Duration deadline, Duration now) {
        if (closed || end.isEmpty()) {
            return !closed;
        }
        return deadline.compareTo(end.get()) <= 0
                || times.expected(route, tokens, now)
                        .filter(expected -> now.plus(expected).compareTo(end.get()) <= 0)
                        .isPresent();
    }
}
