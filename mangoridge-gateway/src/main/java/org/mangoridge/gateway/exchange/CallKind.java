package org.mangoridge.gateway.exchange;

import java.util.Locale;

/** What a call to a server is for. */
public enum CallKind {
    /** A request of a plain service. */
    PLAIN,
    /** The prefill of a model request. */
    PREFILL,
    /** The decode of a model request, with or without its prefill. */
    DECODE,
    /** Reserves capacity for a decode. */
    RESERVATION,
    /** Releases a reservation or a KV cache. */
    RELEASE,
    /** Reads or changes the stage of a server. */
    ORDER;

    /** Returns the name of the counter of such calls. */
    String counter() {
        return "sends." + name().toLowerCase(Locale.ROOT);
    }
}
