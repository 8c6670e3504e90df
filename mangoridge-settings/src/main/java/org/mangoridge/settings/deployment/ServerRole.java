package org.mangoridge.settings.deployment;

/** What a backend server does. */
public enum ServerRole {
    /** Computes KV cache from prompts. */
    PREFILL,
    /** Generates tokens from KV cache. */
    DECODE,
    /** Does both. */
    BOTH,
    /** Answers calls of a plain service. */
    PLAIN;

    /** Tells whether the role computes KV cache. */
    public boolean prefills() {
        return this == PREFILL || this == BOTH;
    }

    /** Tells whether the role generates tokens. */
    public boolean decodes() {
        return this == DECODE || this == BOTH;
    }
}
