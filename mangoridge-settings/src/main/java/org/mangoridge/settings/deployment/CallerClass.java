package org.mangoridge.settings.deployment;

import java.time.Duration;

import org.mangoridge.core.id.CallerClassId;

/**
 * A class of callers that share latency targets.
 *
 * @param id the name of the class
 * @param firstToken the target for the time from arrival to the first token
 * @param perToken the target for the mean time between tokens
 * @param canWait whether its requests may be queued past the first-token target
 * @param maxWait how long a request is queued at most if {@code canWait} is set
 * @param share the weight of the class when capacity is shared out under load
 */
public record CallerClass(
        CallerClassId id, Duration firstToken, Duration perToken, boolean canWait, Duration maxWait, int share) {}
