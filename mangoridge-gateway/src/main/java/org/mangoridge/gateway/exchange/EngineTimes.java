package org.mangoridge.gateway.exchange;

import java.time.Duration;

/** Times that calls of engines have in common. */
final class EngineTimes {

    /** A connection that was used this recently is taken to work; an older one may have gone silent. */
    static final Duration TRUSTED_IDLE = Duration.ofMillis(1000);
    /** A new connection to a sound server takes a few milliseconds; a lost packet takes a second. */
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private EngineTimes() {}
}
