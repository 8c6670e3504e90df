package org.mangoridge.dispatch.request;

import org.mangoridge.core.Checks;

/**
 * A prefill server's response after it has processed a prompt.
 *
 * @param handle the id of the KV cache at the prefill server
 * @param tokens the number of prompt tokens that were processed
 */
public record PrefillResponse(String handle, int tokens) {

    public PrefillResponse {
        Checks.notBlank(handle, "handle");
    }
}
