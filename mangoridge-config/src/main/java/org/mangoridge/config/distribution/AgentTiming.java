package org.mangoridge.config.distribution;

import java.time.Duration;

/**
 * The times and counts that following the configuration works by.
 *
 * @param watchersPerZone how many instances of a zone watch the platform
 * @param watchTimeout how long the platform holds a watch
 * @param peerPollInterval how often an instance that does not watch asks a peer
 * @param minRetryDelay the pause after the first failure
 * @param maxRetryDelay the longest pause after failures
 * @param peerFailuresBeforeWatch how many peers in a row must fail before an instance turns to the platform itself
 * @param startupGracePeriod how long a new instance that expects peers waits to hear of them before it acts as if alone
 */
public record AgentTiming(
        int watchersPerZone,
        Duration watchTimeout,
        Duration peerPollInterval,
        Duration minRetryDelay,
        Duration maxRetryDelay,
        int peerFailuresBeforeWatch,
        Duration startupGracePeriod) {

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
                watchTimeout,
                peerPollInterval,
                minRetryDelay,
                maxRetryDelay,
                peerFailuresBeforeWatch,
                expected ? startupGracePeriod : Duration.ZERO);
    }
}
