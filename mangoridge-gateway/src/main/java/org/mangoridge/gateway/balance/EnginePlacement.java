package org.mangoridge.gateway.balance;

import java.time.Duration;

import org.mangoridge.gateway.directory.ServerEntry;

/** What is to be done with a model request now. */
public sealed interface EnginePlacement {

    /**
     * A prefill server reads the prompt, a decode server generates.
     *
     * @param prefill the prefill server
     * @param decode the decode server, whose room is reserved from now on
     * @param firstToken the expected time until the first token
     */
    record Split(ServerEntry prefill, ServerEntry decode, Duration firstToken) implements EnginePlacement {}

    /**
     * A decode server reads the prompt itself.
     *
     * @param decode the decode server
     * @param firstToken the expected time until the first token
     */
    record Direct(ServerEntry decode, Duration firstToken) implements EnginePlacement {}

    /**
     * No server has room, or none would be in time.
     *
     * @param best the expected time until the first token if it were placed all the same; negative if there is no room
     */
    record NoCapacity(Duration best) implements EnginePlacement {}
}
