package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * Decides which requests an instance still sends to servers: all until it shuts down, and then those that are expected to
 * end before it stops; not thread-safe.
 *
 * <p>A request that would outlast the instance is better refused as not run, since another instance can serve it. A plain
 * one that outlasts it after all is answered; a stream that has begun can only be cut. So a stream that came when its caller
 * could have gone elsewhere is sent only if it is certain to end in time.
 */
public final class DrainAdmission {

    /**
     * Time after the shutdown signal in which callers can't have gone elsewhere: two health checks of the load balancer, less
     * the time that the signal or a request is on its way.
     */
    static final Duration BALANCER_DELAY = Duration.ofMillis(2800);

    private final ServingTimes times = ServingTimes.create();
    private Optional<Shutdown> shutdown = Optional.empty();
    private boolean closed;

    private record Shutdown(Duration signalled, Duration end, Duration streamEnd) {

        Duration endOf(Request request) {
            return request.streamed() ? streamEnd : end;
        }
    }

    /**
     * A request to be judged.
     *
     * @param route its route
     * @param service its service
     * @param streamed whether its response is sent as it comes, so that it can only be cut once it has begun
     * @param tokens its token counts; {@link TokenDemand#NONE} if it is no model request
     * @param received when it had been read
     * @param deadline when it gets its final answer at the latest
     */
    public record Request(
            Route route,
            ServiceId service,
            boolean streamed,
            TokenDemand tokens,
            Duration received,
            Duration deadline) {}

    /**
     * What is known of the time of a request when it is judged during a shutdown.
     *
     * @param sinceSignal the time since the shutdown signal
     * @param left the time until the instance ends such requests; negative after that
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
     * @param end when the instance answers the requests whose responses have not begun
     * @param streamEnd when it cuts the streams that have begun; not before {@code end}
     */
    public void shutDown(Duration signalled, Duration end, Duration streamEnd) {
        Checks.argument(end.compareTo(streamEnd) <= 0, "streams end before requests: %s, %s", streamEnd, end);
        shutdown = Optional.of(new Shutdown(signalled, end, streamEnd));
    }

    /** Takes no request any more. */
    public void close() {
        closed = true;
    }

    /** Returns whether a request may be sent to a server now. */
    public boolean admits(Request request, Duration now) {
        return admits(request, now, () -> expected(request, now));
    }

    /** Returns what {@link #admits} would return, and leaves what is known of serving times as it is. */
    public boolean wouldAdmit(Request request, Duration now) {
        return admits(
                request,
                now,
                () -> request.streamed() ? expected(request, now) : times.previewPlain(request.route(), now));
    }

    private boolean admits(Request request, Duration now, Supplier<Optional<Duration>> expectedTime) {
        if (closed || shutdown.isEmpty()) {
            return !closed;
        }
        Duration end = shutdown.get().endOf(request);
        if (request.deadline().compareTo(end) <= 0) {
            return true;
        }
        Duration sinceSignal = request.received().minus(shutdown.get().signalled());
        if (request.streamed() && sinceSignal.compareTo(BALANCER_DELAY) > 0) {
            return false;
        }
        return expectedTime
                .get()
                .filter(expected -> now.plus(expected).compareTo(end) <= 0)
                .isPresent();
    }

    /** Returns whether a stream that was sent may still begin, now that its prompt has been read. */
    public boolean admitsFirstEvent(Request request, Duration now) {
        if (closed || shutdown.isEmpty()) {
            return !closed;
        }
        Duration end = shutdown.get().endOf(request);
        return request.deadline().compareTo(end) <= 0
                || times.expectedEvents(request.service(), request.tokens(), now)
                        .filter(expected -> now.plus(expected).compareTo(end) <= 0)
                        .isPresent();
    }

    /** Returns what is known of the time of a request, for the log; empty before the shutdown. */
    public Optional<Outlook> outlook(Request request, Duration now) {
        return shutdown.map(known ->
                new Outlook(now.minus(known.signalled()), known.endOf(request).minus(now), expected(request, now)));
    }

    private Optional<Duration> expected(Request request, Duration now) {
        return request.streamed()
                ? times.expectedStream(request.service(), request.tokens(), now)
                : times.expectedPlain(request.route(), now);
    }
}
