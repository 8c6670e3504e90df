package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * What a placement must meet.
 *
 * @param firstToken the latest acceptable time until the first token
 * @param maxEventGap the maximum gap between the events of a stream; zero if the route has no such target
 * @param lateness how much of every server is left to other requests
 */
public record PlacementTarget(Duration firstToken, Duration maxEventGap, Lateness lateness) {

    /** Whether a request can still meet its latency target. */
    public enum Lateness {
        /** It can. */
        ON_TIME,
        /** It can't, and leaves room to those that can. */
        LATE,
        /** It can't, and would soon be refused; it leaves only the room that late requests always leave. */
        ENDING
    }
}
