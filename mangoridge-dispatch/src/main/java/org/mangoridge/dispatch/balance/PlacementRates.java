package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.ServerId;

/**
 * Measures how often peers place requests on each server and how long their reports leave that unknown; confined to one
 * thread.
 */
final class PlacementRates {

    /** Time constant of the rates: several intervals of reports, and shorter than a change of the load. */
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(2);
    /** Rates below this, in placements a second, are dropped. */
    private static final double MIN_RATE_PER_SECOND = 0.01;
    /** Weight of one placement in the moving average of the interval between reports. */
    private static final double INTERVAL_WEIGHT = 0.02;

    private final Map<ServerId, Rate> rates = new HashMap<>();
    private double intervalSeconds;

    private record Rate(double perSecond, Duration measured) {

        double at(Duration now) {
            return perSecond * Math.exp(-seconds(now.minus(measured)) / seconds(TIME_CONSTANT));
        }
    }

    private PlacementRates() {}

    static PlacementRates create() {
        return new PlacementRates();
    }

    /**
     * Records the requests that a report shows beyond the one before it; after a silence longer than the time constant of
     * the rates, it shows what is long past and counts for nothing.
     *
     * @param interval the time between the receptions of both
     */
    void record(Map<ServerId, ServerLoad> before, Map<ServerId, ServerLoad> after, Duration interval, Duration now) {
        if (interval.compareTo(TIME_CONSTANT) > 0) {
            return;
        }
        after.forEach((server, load) -> {
            int added = load.requests()
                    - before.getOrDefault(server, ServerLoad.NONE).requests();
            if (added > 0) {
                record(server, added, interval, now);
            }
        });
    }

    private void record(ServerId server, int added, Duration interval, Duration now) {
        Rate known = rates.get(server);
        double current = known == null ? 0 : known.at(now);
        rates.put(server, new Rate(current + added / seconds(TIME_CONSTANT), now));
        double weight = intervalSeconds == 0 ? 1 : 1 - Math.pow(1 - INTERVAL_WEIGHT, added);
        intervalSeconds += weight * (seconds(interval) - intervalSeconds);
    }

    /** Returns how many requests peers are expected to have placed on a server since their last reports. */
    double unreported(ServerId server, Duration now) {
        Rate known = rates.get(server);
        return known == null ? 0 : known.at(now) * intervalSeconds;
    }

    /** Returns how many requests peers are expected to have placed on any server since their last reports. */
    double unreported(Duration now) {
        return intervalSeconds
                * rates.values().stream().mapToDouble(rate -> rate.at(now)).sum();
    }

    /** Drops the rates of servers that peers no longer use. */
    void expire(Duration now) {
        rates.values().removeIf(rate -> rate.at(now) < MIN_RATE_PER_SECOND);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
