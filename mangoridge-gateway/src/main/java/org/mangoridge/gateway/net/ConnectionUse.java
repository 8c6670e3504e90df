package org.mangoridge.gateway.net;

import java.time.Duration;

/**
 * What a connection had been used for when a call began on it.
 *
 * @param earlierCalls the number of calls that it had carried before
 * @param idle the time since the end of the call before; zero if there was none
 */
public record ConnectionUse(int earlierCalls, Duration idle) {

    /** A connection that carried no call before. */
    public static final ConnectionUse NEW = new ConnectionUse(0, Duration.ZERO);
}
