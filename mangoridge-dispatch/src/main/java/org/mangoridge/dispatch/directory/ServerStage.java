package org.mangoridge.dispatch.directory;

/** The stage of model requests that a server processes. */
public enum ServerStage {
    /** Runs prefills and transfers their KV cache to decode servers. */
    PREFILL,
    /** Generates tokens; runs the prefill, too, at lower speed, if no KV cache is transferred. */
    DECODE,
    /** Not applicable: the server belongs to a plain service. */
    NONE
}
