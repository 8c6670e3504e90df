package org.mangoridge.dispatch.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.dispatch.directory.ServerEntry;

/**
 * Spreads a choice among servers whose costs differ by less than what requests of other instances, not reported yet, may
 * have added.
 *
 * <p>Instances that decide from the same reports would all choose the cheapest server. Each chooses a server with the
 * probability that the unreported requests are on it if they were placed where they cost least, so that together they
 * fill the servers up to the same cost.
 */
final class PlacementSpread {

    private PlacementSpread() {}

    /**
     * A server that may be chosen.
     *
     * @param server the server
     * @param cost its cost now
     * @param increment the increase of the cost by one more request; positive
     * @param room the requests that fit
     */
    record Candidate(ServerEntry server, double cost, double increment, double room) {

        /** Returns how many requests bring the cost to {@code level}, at most as many as fit. */
        double requestsUpTo(double level) {
            return Math.max(0, Math.min(room, (level - cost) / increment));
        }
    }

    /**
     * Returns one of the candidates.
     *
     * @param candidates at least one
     * @param requests the requests to spread over them: the one to be placed and the unreported ones
     */
    static ServerEntry choose(List<Candidate> candidates, double requests, RandomGenerator random) {
        double level = level(candidates, requests);
        double total = requestsUpTo(candidates, level);
        double drawn = random.nextDouble() * total;
        for (Candidate candidate : candidates) {
            drawn -= candidate.requestsUpTo(level);
            if (drawn < 0) {
                return candidate.server();
            }
        }
        return candidates.stream()
                .min(Comparator.comparingDouble(Candidate::cost))
                .orElseThrow()
                .server();
    }

    /** Returns the cost up to which the requests fill the candidates, or at which all are full. */
    private static double level(List<Candidate> candidates, double requests) {
        // The number of requests is linear between the costs at which a candidate starts to fill or is full.
        List<Double> corners = new ArrayList<>();
        for (Candidate candidate : candidates) {
            corners.add(candidate.cost());
            corners.add(candidate.cost() + candidate.room() * candidate.increment());
        }
        corners.sort(null);
        double below = corners.getFirst();
        double requestsBelow = 0;
        for (double corner : corners) {
            double requestsAt = requestsUpTo(candidates, corner);
            if (requestsAt >= requests) {
                return below + (corner - below) * (requests - requestsBelow) / (requestsAt - requestsBelow);
            }
            below = corner;
            requestsBelow = requestsAt;
        }
        return below;
    }

    private static double requestsUpTo(List<Candidate> candidates, double level) {
        double sum = 0;
        for (Candidate candidate : candidates) {
            sum += candidate.requestsUpTo(level);
        }
        return sum;
    }
}
