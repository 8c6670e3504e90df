package org.mangoridge.gateway.request;

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
     */
    record FromCache(HostPort source, String handle) implements AttemptWork {

        public FromCache {
            Checks.notNull(source, "source");
            Checks.notBlank(handle, "handle");
        }
    }
}
