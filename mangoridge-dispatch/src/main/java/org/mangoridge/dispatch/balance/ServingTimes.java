package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * How long requests took lately, to tell how long another one may take; not thread-safe.
 *
 * <p>The time of a plain request is known by its route. That of a stream follows from the tokens that its caller expects and
 * from the pace of the service, which streams in progress tell as well, whatever their route and length.
 */
public final class ServingTimes {

    /** Plain requests are forgotten after one to two of these, streams after one. */
    private static final Duration WINDOW = Duration.ofSeconds(30);
    /** Number of the newest streams, and of the newest parts of streams, that are remembered. */
    private static final int SAMPLE_SIZE = 64;
    /** Share of the recent streams that are as fast as expected, so that a single slow one does not count. */
    private static final double COVERED_SHARE = 0.8;
    /** Divisor of an estimate that yields the margin over it. */
    private static final int HEADROOM_DIVISOR = 4;

    private final Map<String, RecentMaximum> byRoute = new HashMap<>();
    private final Map<ServiceId, Streams> byService = new HashMap<>();

    private record Streams(RecentSample first, RecentSample perToken) {

        static Streams create() {
            return new Streams(RecentSample.of(SAMPLE_SIZE, WINDOW), RecentSample.of(SAMPLE_SIZE, WINDOW));
        }

        boolean isForgotten(Duration now) {
            return first.isEmpty(now) && perToken.isEmpty(now);
        }
    }

    private ServingTimes() {}

    /** Returns an object that knows no request. */
    public static ServingTimes create() {
        return new ServingTimes();
    }

    /** Records a plain request that has been served, or that has ended without an answer, after {@code took}. */
    public void recordPlain(Route route, Duration took, Duration now) {
        RecentMaximum longest = byRoute.get(route.name());
        if (longest == null) {
            byRoute.values().removeIf(other -> other.value(now).isZero());
            longest = new RecentMaximum(WINDOW, now);
            byRoute.put(route.name(), longest);
        }
        longest.record(took, now);
    }

    /** Records the time to the first event of a stream. */
    public void recordFirstEvent(ServiceId service, Duration took, Duration now) {
        streams(service, now).first.record(took, now);
    }

    /** Records that a stream has gone on by {@code tokens} within {@code took}. */
    public void recordPace(ServiceId service, int tokens, Duration took, Duration now) {
        Checks.argument(tokens > 0, "tokens must be positive: %d", tokens);
        streams(service, now).perToken.record(took.dividedBy(tokens), now);
    }

    private Streams streams(ServiceId service, Duration now) {
        Streams known = byService.get(service);
        if (known == null) {
            byService.values().removeIf(other -> other.isForgotten(now));
            known = Streams.create();
            byService.put(service, known);
        }
        return known;
    }

    /** Returns the time within which a plain request is expected to end; empty if its route had none lately. */
    Optional<Duration> expectedPlain(Route route, Duration now) {
        return Optional.ofNullable(byRoute.get(route.name()))
                .map(longest -> longest.value(now))
                .filter(Duration::isPositive)
                .map(ServingTimes::withHeadroom);
    }

    /** Returns what {@link #expectedPlain} would return, and begins no window. */
    Optional<Duration> previewPlain(Route route, Duration now) {
        return Optional.ofNullable(byRoute.get(route.name()))
                .map(longest -> longest.preview(now))
                .filter(Duration::isPositive)
                .map(ServingTimes::withHeadroom);
    }

    /** Returns the time within which a stream is expected to end; empty if the service had none lately. */
    Optional<Duration> expectedStream(ServiceId service, TokenDemand tokens, Duration now) {
        Optional<Duration> first =
                Optional.ofNullable(byService.get(service)).flatMap(known -> known.first.quantile(COVERED_SHARE, now));
        Optional<Duration> events = expectedEvents(service, tokens, now);
        return first.flatMap(value -> events.map(withHeadroom(value)::plus));
    }

    /** Returns the time from its first event within which a stream is expected to end; empty if nothing is known. */
    Optional<Duration> expectedEvents(ServiceId service, TokenDemand tokens, Duration now) {
        int output = tokens.expectedOutput() > 0 ? tokens.expectedOutput() : tokens.maxOutput();
        return Optional.ofNullable(byService.get(service))
                .filter(known -> output > 0)
                .flatMap(known -> known.perToken.quantile(COVERED_SHARE, now))
                .map(perToken -> withHeadroom(perToken.multipliedBy(output)));
    }

    private static Duration withHeadroom(Duration expected) {
        return expected.plus(expected.dividedBy(HEADROOM_DIVISOR));
    }
}
