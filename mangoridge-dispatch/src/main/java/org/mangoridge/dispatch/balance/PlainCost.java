package org.mangoridge.dispatch.balance;

/**
 * The terms of the cost of sending a plain request to a server; the cost is the product of all but the first.
 *
 * @param inFlight the requests of all instances in flight at the server
 * @param latencyMillis the latency in milliseconds by which the server competes with others
 * @param crowding the factor for the requests in flight, from 1 up
 * @param errors the factor for failed answers, from 1 up
 * @param distance the factor for another zone, 1 within the zone
 */
public record PlainCost(int inFlight, double latencyMillis, double crowding, double errors, double distance) {

    /** Returns the cost; comparable with that of other servers of the service only. */
    public double value() {
        return latencyMillis * crowding * errors * distance;
    }
}
