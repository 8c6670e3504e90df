package org.mangoridge.objects;

import org.mangoridge.core.Checks;

/**
 * An object as the platform holds it.
 *
 * @param key its name
 * @param version the store's revision at its last write, greater for a later one
 * @param value its value
 */
public record StoredObject(ObjectKey key, long version, byte[] value) {

    public StoredObject {
        Checks.notNull(key, "key");
        Checks.notNull(value, "value");
    }
}
