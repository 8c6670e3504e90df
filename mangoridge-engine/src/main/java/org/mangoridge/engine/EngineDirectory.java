package org.mangoridge.engine;

import org.mangoridge.core.net.HostPort;

/** Maps addresses to model engines. Safe for use by several threads. */
@FunctionalInterface
public interface EngineDirectory {

    /** Returns the engine at {@code address}. */
    ModelEngine engineAt(HostPort address);
}
