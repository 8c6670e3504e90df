package org.mangoridge.gateway.directory;

/** The part that a server takes in serving a model request. */
public enum ServerStage {
    /** Reads prompts and hands their KV cache over. */
    PREFILL,
    /** Generates tokens; reads a prompt itself, slowly, if no KV cache is handed over. */
    DECODE,
    /** A plain service has no stages. */
    NONE
}
