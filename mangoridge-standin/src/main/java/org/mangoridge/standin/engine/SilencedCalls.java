package org.mangoridge.standin.engine;

import java.time.Duration;

import org.mangoridge.web.WebRequest;

/** Tracks the calls whose responses are withheld; thread-safe. */
final class SilencedCalls {

    private final EngineMonitor engine;
    private volatile Duration silencedAt;

    SilencedCalls(EngineMonitor engine) {
        this.engine = engine;
    }

    /** Silences every open call. */
    void silenceOpenCalls() {
        silencedAt = engine.now();
    }

    /** Returns whether a call opened at {@code openedAt} was silenced. */
    boolean isSilent(Duration openedAt) {
        Duration at = silencedAt;
        return at != null && openedAt.compareTo(at) <= 0;
    }

    /** Waits until the peer of a silenced call disconnects. */
    void awaitDisconnect(WebRequest web) {
        engine.awaitWhile(() -> !web.connection().isClosed());
    }
}
