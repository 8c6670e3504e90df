package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;

/**
 * Tells which availability zones this instance can't reach, from connections that could not be opened; confined to one
 * thread.
 *
 * <p>When a zone is cut off, each of its servers would otherwise cost some requests a connection timeout before it is
 * ejected. Several servers of a zone that don't answer, with no answer from any of its servers in between, mean that the
 * zone is cut off.
 */
final class ZoneReachability {

    /** Servers of a zone that must be unreachable before the zone counts as cut off. */
    private static final int MIN_UNREACHABLE_SERVERS = 2;
    /** How long a failed connection counts. */
    private static final Duration FAILURE_RETENTION = Duration.ofSeconds(5);
    /** How long a zone that is cut off gets no requests; then some try it again. */
    static final Duration AVOIDANCE = Duration.ofSeconds(2);

    private final Map<AvailabilityZone, State> zones = new HashMap<>();

    private static final class State {
        private final Map<ServerId, Duration> unreachable = new HashMap<>();
        private Duration avoidedUntil = Duration.ZERO;
    }

    /** Records that no connection to a server could be opened in time. */
    void recordUnreachable(AvailabilityZone zone, ServerId server, Duration now) {
        State state = zones.computeIfAbsent(zone, id -> new State());
        state.unreachable.values().removeIf(failed -> now.minus(failed).compareTo(FAILURE_RETENTION) > 0);
        state.unreachable.put(server, now);
        if (state.unreachable.size() >= MIN_UNREACHABLE_SERVERS) {
            state.avoidedUntil = now.plus(AVOIDANCE);
        }
    }

    /** Records an answer of a server of a zone. */
    void recordAnswer(AvailabilityZone zone) {
        zones.remove(zone);
    }

    /** Tells whether requests are to be kept from a zone. */
    boolean isCutOff(AvailabilityZone zone, Duration now) {
        State state = zones.get(zone);
        return state != null && now.compareTo(state.avoidedUntil) < 0;
    }
}
