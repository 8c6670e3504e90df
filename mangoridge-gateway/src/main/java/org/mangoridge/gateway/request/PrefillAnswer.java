package org.mangoridge.gateway.request;

import org.mangoridge.core.Checks;

/**
 * A prefill server's answer: the prompt is read.
 *
 * @param handle what the KV cache is called there
 * @param tokens how many tokens were read
 */
public record PrefillAnswer(String handle, int tokens) {

    public PrefillAnswer {
        Checks.notBlank(handle, "handle");
    }
}
