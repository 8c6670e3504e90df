package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * How long requests of each route took lately, to tell how long another one may take; not thread-safe.
 *
 * <p>A stream is taken apart into the time to its first event and a time for each token that it may generate.
 */
public final class ServingTimes {

    /** Requests are forgotten after one to two of these. */
    private static final Duration WINDOW = Duration.ofSeconds(30);
    /**
     * Divisor of the longest recent request that yields the margin over it, since the next one may take longer than each of
     * a limited number.
     */
    private static final int HEADROOM_DIVISOR = 4;

    private final Map<String, Times> byRoute = new HashMap<>();

    private record Times(RecentMaximum first, RecentMaximum perToken) {

        boolean isForgotten(Duration now) {
            return first.value(now).isZero();
        }
    }

    private ServingTimes() {}

    /** Returns an object that knows no request. */
    public static ServingTimes create() {
        return new ServingTimes();
    }

    /**
     * Records a request that has been served, or that has ended without an answer after {@code whole}.
     *
     * @param first the time to the first event of a stream; that to the answer otherwise
     * @param whole the time to the end
     */
    public void record(Route route, TokenDemand tokens, Duration first, Duration whole, Duration now) {
        Checks.argument(first.compareTo(whole) <= 0, "the first event came after the end: %s, %s", first, whole);
        Times times = byRoute.get(route.name());
        if (times == null) {
            byRoute.values().removeIf(other -> other.isForgotten(now));
            times = new Times(new RecentMaximum(WINDOW, now), new RecentMaximum(WINDOW, now));
            byRoute.put(route.name(), times);
        }
        times.first.record(first, now);
        times.perToken.record(whole.minus(first).dividedBy(Math.max(1, tokens.maxOutput())), now);
    }

    /** Returns the time within which a request of the route is expected to end; empty if there was none lately. */
    public Optional<Duration> expected(Route route, TokenDemand tokens, Duration now) {
        Times times = byRoute.get(route.name());
        if (times == null || times.isForgotten(now)) {
            return Optional.empty();
        }
        Duration longest =
                times.first.value(now).plus(times.perToken.value(now).multipliedBy(Math.max(1, tokens.maxOutput())));
        return Optional.of(longest.plus(longest.dividedBy(HEADROOM_DIVISOR)));
    }
}
