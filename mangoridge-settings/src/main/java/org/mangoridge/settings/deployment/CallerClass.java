package org.mangoridge.settings.deployment;

import java.time.Duration;

import org.mangoridge.core.id.CallerClassId;

/**
 * A class of callers with its latency targets.
 *
 * @param id its name
 * @param firstToken the target for the time from arrival to the first token
 * @param perToken the target for the mean time between tokens
 * @param canWait whether its requests may be queued past the first-token target
 * @param maxWait the longest that a request which can wait is queued
 * @param share the weight of the class when capacity is short
 */
public record CallerClass(
        CallerClassId id, Duration firstToken, Duration perToken, boolean canWait, Duration maxWait, int share) {}
