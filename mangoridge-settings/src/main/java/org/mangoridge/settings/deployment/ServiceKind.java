package org.mangoridge.settings.deployment;

/** The kind of backend servers behind a service. */
public enum ServiceKind {
    /** Engines that serve a model. */
    MODEL,
    /** HTTP servers to which calls are passed through. */
    PLAIN
}
