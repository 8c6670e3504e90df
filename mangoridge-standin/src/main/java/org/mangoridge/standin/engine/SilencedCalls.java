package org.mangoridge.standin.engine;

import java.time.Duration;

import org.mangoridge.web.WebRequest;

/** Knows which open calls bring nothing more; safe for use by several threads. */
final class SilencedCalls {

    private final EngineMonitor engine;
    private volatile Duration silencedAt;

    SilencedCalls(EngineMonitor engine) {
        this.engine = engine;
    }

    /** Silences every call that is open now. */
    void silenceOpenCalls() {
        silencedAt = engine.now();
    }

    /** Tells whether a call opened at {@code opened} was silenced. */
    boolean isSilent(Duration opened) {
        Duration at = silencedAt;
        return at != null && opened.compareTo(at) <= 0;
    }

    /** Waits until the peer of a silenced call goes. */
    void awaitDisconnect(WebRequest web) {
        engine.awaitWhile(() -> !web.connection().isClosed());
    }
}
