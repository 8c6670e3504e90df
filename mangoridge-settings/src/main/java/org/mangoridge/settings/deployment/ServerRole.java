package org.mangoridge.settings.deployment;

/** The part of the work that a backend server does. */
public enum ServerRole {
    /** Computes the KV cache of prompts. */
    PREFILL,
    /** Generates tokens from a KV cache. */
    DECODE,
    /** Runs prefill and decode. */
    BOTH,
    /** Answers calls of a plain service. */
    PLAIN;

    /** Tells whether a server of this role computes KV caches. */
    public boolean prefills() {
        return this == PREFILL || this == BOTH;
    }

    /** Tells whether a server of this role generates tokens. */
    public boolean decodes() {
        return this == DECODE || this == BOTH;
    }
}
