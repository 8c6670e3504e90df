package org.mangoridge.gateway.exchange;

import java.time.Duration;

/** Connection limits that all calls to engines share. */
final class EngineTimeouts {

    /** Longest idle time after which a pooled connection is reused; an older one may be dead without notice. */
    static final Duration MAX_IDLE_FOR_REUSE = Duration.ofMillis(1000);
    /** Connecting to a healthy server takes a few milliseconds; a lost packet delays it by a second. */
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private EngineTimeouts() {}
}
