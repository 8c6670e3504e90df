package org.mangoridge.engine;

import org.mangoridge.core.net.HostPort;

/** Gives the engine at an address; safe for use by several threads. */
@FunctionalInterface
public interface EngineDirectory {

    /** Returns the engine at {@code address}. */
    ModelEngine engineAt(HostPort address);
}
