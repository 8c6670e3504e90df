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
    private Optional<Shutdown> shutdown = Optional.empty();
    private boolean closed;

    private record Shutdown(Duration signalled, Duration end) {}

    /**
     * What is known of the time of a request when it is judged during a shutdown.
     *
     * @param sinceSignal the time since the shutdown signal
     * @param left the time until the instance answers what is in progress; negative after that
     * @param expected the time within which the request is expected to end; empty if nothing is known
     */
    public record Outlook(Duration sinceSignal, Duration left, Optional<Duration> expected) {}

    private DrainAdmission() {}

    /** Returns an admission that takes every request. */
    public static DrainAdmission create() {
        return new DrainAdmission();
    }

    /** Returns how long recent requests took. */
    public ServingTimes servingTimes() {
        return times;
    }

    /**
     * Takes only requests that are expected to end in time from now on.
     *
     * @param signalled when the shutdown signal came
     * @param end when the instance answers what is in progress
     */
    public void shutDown(Duration signalled, Duration end) {
        shutdown = Optional.of(new Shutdown(signalled, end));
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
        if (closed || shutdown.isEmpty()) {
            return !closed;
        }
        Duration end = shutdown.get().end();
        return deadline.compareTo(end) <= 0
                || times.expected(route, tokens, now)
                        .filter(expected -> now.plus(expected).compareTo(end) <= 0)
                        .isPresent();
    }

    /** Returns what is known of the time of a request, for the log; empty before the shutdown. */
    public Optional<Outlook> outlook(Route route, TokenDemand tokens, Duration now) {
        return shutdown.map(known ->
                new Outlook(now.minus(known.signalled()), known.end().minus(now), times.expected(route, tokens, now)));
    }
}
