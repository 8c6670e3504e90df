package org.mangoridge.gateway.net;

import org.mangoridge.gateway.config.CallerLimits;

/** What connections of callers ask of the instance that they belong to. */
public interface FrontState {

    /** Returns what callers may send now. */
    CallerLimits limits();

    /** Tells whether the instance is leaving, so that connections close after their next answer. */
    boolean draining();
}
