package org.mangoridge.settings.deployment;

/** What a service consists of. */
public enum ServiceKind {
    /** Model engines. */
    MODEL,
    /** Plain services whose calls are passed through. */
    PLAIN
}
