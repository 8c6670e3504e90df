package org.mangoridge.gateway.net;

import org.mangoridge.dispatch.config.CallerLimits;

/** The state of the instance that the connections of callers depend on. */
public interface FrontState {

    /** Returns the limits that are currently in force. */
    CallerLimits limits();

    /** Returns whether the instance is draining, so that connections close after their next response. */
    boolean draining();
}
