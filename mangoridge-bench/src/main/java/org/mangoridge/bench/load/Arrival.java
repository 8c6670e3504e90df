package org.mangoridge.bench.load;

import java.time.Duration;

/**
 * A request to be sent at a fixed time.
 *
 * @param at the time since the start of the schedule
 * @param trafficClass its class
 * @param caller who sends it
 * @param prompt its prompt
 * @param maxTokens the most tokens that it asks for
 */
public record Arrival(Duration at, TrafficClass trafficClass, String caller, Prompt prompt, int maxTokens) {}
