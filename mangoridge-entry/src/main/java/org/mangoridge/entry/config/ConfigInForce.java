package org.mangoridge.entry.config;

import org.mangoridge.core.id.Generation;
import org.mangoridge.settings.deployment.Deployment;

/**
 * The configuration that an instance has adopted.
 *
 * @param generation its generation, 0 before the first adoption
 * @param hash the hash of its text, empty before the first adoption
 * @param deployment the deployment that it describes
 */
public record ConfigInForce(Generation generation, String hash, Deployment deployment) {

    /** Returns the state before the first adoption. */
    public static ConfigInForce none() {
        return new ConfigInForce(Generation.of(0), "", Deployment.empty());
    }

    /** Returns whether a configuration was adopted. */
    public boolean isAdopted() {
        return generation.value() > 0;
    }
}
