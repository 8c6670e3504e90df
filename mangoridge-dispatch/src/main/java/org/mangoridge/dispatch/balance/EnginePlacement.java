package org.mangoridge.dispatch.balance;

import java.time.Duration;

import org.mangoridge.dispatch.directory.ServerEntry;

/** The servers chosen for a model request, or that there are none. */
public sealed interface EnginePlacement {

    /**
     * A prefill server runs the prefill, a decode server generates.
     *
     * @param prefill the prefill server
     * @param decode the decode server, whose capacity counts as taken from now on
     * @param firstToken the expected time until the first token
     */
    record Split(ServerEntry prefill, ServerEntry decode, Duration firstToken) implements EnginePlacement {}

    /**
     * A decode server runs the prefill, too.
     *
     * @param decode the decode server
     * @param firstToken the expected time until the first token
     */
    record Direct(ServerEntry decode, Duration firstToken) implements EnginePlacement {}

    /**
     * No server has capacity, or the first token would be too late.
     *
     * @param earliestFirstToken the expected time until the first token of the best placement; negative if no server has
     *     capacity
     */
    record NoCapacity(Duration earliestFirstToken) implements EnginePlacement {}
}
