package org.mangoridge.gateway.request;

import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.net.HostPort;

/** What a server is asked to do with a request. */
public sealed interface AttemptWork {

    /** Run the whole request. */
    record Whole() implements AttemptWork {}

    /** Read the prompt and keep its KV cache for another server. */
    record ReadPrompt() implements AttemptWork {}

    /**
     * Generate from KV cache that another server keeps.
     *
     * @param source the server that keeps it
     * @param handle what it is called there
     * @param room what the room is called that the server keeps for the request; empty if it keeps none
     */
    record FromCache(HostPort source, String handle, Optional<String> room) implements AttemptWork {

        public FromCache {
            Checks.notNull(source, "source");
            Checks.notBlank(handle, "handle");
            Checks.notNull(room, "room");
        }
    }
}
