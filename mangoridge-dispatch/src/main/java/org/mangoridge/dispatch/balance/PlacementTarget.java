package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * What a placement must meet.
 *
 * @param firstToken the latest acceptable time until the first token
 * @param maxEventGap the maximum gap between the events of a stream; zero if the route has no such target
 * @param onTime whether the request can still meet its latency target; one that can't leaves part of every server to
 *     those that can
 */
public record PlacementTarget(Duration firstToken, Duration maxEventGap, boolean onTime) {}
