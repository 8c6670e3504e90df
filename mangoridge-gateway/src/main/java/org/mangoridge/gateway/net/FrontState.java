package org.mangoridge.gateway.net;

import org.mangoridge.dispatch.config.CallerLimits;

/** The state of the instance that the connections of callers depend on. */
public interface FrontState {

    /** Returns the limits that are currently in force. */
    CallerLimits limits();

    /** Returns whether the instance is draining, so that connections close after their next response. */
    boolean draining();

    /** Called with what a connection is closed for, other than an error of its transport; it shows a defect. */
    default void connectionFailed(Throwable cause) {}
}
