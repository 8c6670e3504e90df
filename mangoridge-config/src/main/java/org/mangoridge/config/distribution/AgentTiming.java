package org.mangoridge.config.distribution;

import java.time.Duration;

/**
 * Timeouts, intervals and limits of a {@link ConfigAgent}.
 *
 * @param watchersPerZone the number of instances per zone that watch the platform
 * @param watchTimeout how long the platform holds a watch open without a change
 * @param peerPollInterval the interval, before jitter, at which an instance that is not a watcher polls a peer; also
 *     the maximum backoff after failed calls to a peer
 * @param minRetryDelay the minimum backoff after a failed call
 * @param maxRetryDelay the maximum backoff after failed calls to the platform
 * @param peerFailuresBeforeWatch the number of consecutive failed peer calls after which an instance watches the
 *     platform
 * @param startupGracePeriod how long a new instance that expects peers waits to discover one before it watches the
 *     platform
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

    /** Returns the default values. */
    public static AgentTiming standard() {
        return STANDARD;
    }

    /** Returns a copy for an instance that expects peers, or one without a grace period if it expects none. */
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
