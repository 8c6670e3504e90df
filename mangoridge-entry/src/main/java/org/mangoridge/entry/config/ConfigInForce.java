package org.mangoridge.entry.config;

import org.mangoridge.core.id.Generation;
import org.mangoridge.settings.deployment.Deployment;

/**
 * The configuration that an instance has adopted.
 *
 * @param generation its number, 0 before any was adopted
 * @param hash the hash of its text, empty before any was adopted
 * @param deployment what it says
 */
public record ConfigInForce(Generation generation, String hash, Deployment deployment) {

    /** Returns the state before any configuration was adopted. */
    public static ConfigInForce none() {
        return new ConfigInForce(Generation.of(0), "", Deployment.empty());
    }

    /** Tells whether a configuration was adopted. */
    public boolean isAdopted() {
        return generation.value() > 0;
    }
}
