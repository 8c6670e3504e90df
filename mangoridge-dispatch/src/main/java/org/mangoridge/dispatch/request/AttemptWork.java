package org.mangoridge.dispatch.request;

import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.net.HostPort;

/** The part of a request that a server executes. */
public sealed interface AttemptWork {

    /** Executes the whole request. */
    record FullRequest() implements AttemptWork {}

    /** Processes the prompt and retains its KV cache for a decode server to import. */
    record Prefill() implements AttemptWork {}

    /**
     * Imports the KV cache of a prefill server and generates the output.
     *
     * @param source the address of the prefill server
     * @param handle the id of the KV cache at the prefill server
     * @param reservation the id of the decode server's reservation for the request; empty if there is none
     */
    record Decode(HostPort source, String handle, Optional<String> reservation) implements AttemptWork {

        public Decode {
            Checks.notNull(source, "source");
            Checks.notBlank(handle, "handle");
            Checks.notNull(reservation, "reservation");
        }
    }
}
