package org.mangoridge.config.spread;

import java.time.Duration;

/**
 * The times and counts that following the configuration works by.
 *
 * @param watchersPerZone how many instances of a zone watch the platform
 * @param watchWait how long the platform holds a watch
 * @param askInterval how often an instance that does not watch asks a peer
 * @param firstRetry the pause after the first failure
 * @param longestRetry the longest pause after failures
 * @param failuresToWatch how many peers in a row must fail before an instance turns to the platform itself
 * @param startGrace how long a new instance that expects peers waits to hear of them before it acts as if alone
 */
public record AgentTiming(
        int watchersPerZone,
        Duration watchWait,
        Duration askInterval,
        Duration firstRetry,
        Duration longestRetry,
        int failuresToWatch,
        Duration startGrace) {

    private static final AgentTiming STANDARD = new AgentTiming(
            2,
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofMillis(250),
            Duration.ofSeconds(4),
            3,
            Duration.ofSeconds(2));

    /** Returns the times that instances use. */
    public static AgentTiming standard() {
        return STANDARD;
    }

    /** Returns the same times for an instance that expects peers, or acts at once as if alone. */
    public AgentTiming expectingPeers(boolean expected) {
        return new AgentTiming(
                watchersPerZone,
                watchWait,
                askInterval,
                firstRetry,
                longestRetry,
                failuresToWatch,
                expected ? startGrace : Duration.ZERO);
    }
}
