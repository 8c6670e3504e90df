package org.mangoridge.objects;

import org.mangoridge.core.Checks;

/**
 * An object in the platform's store.
 *
 * @param key its key
 * @param version the store's revision at its last write; increases with every write
 * @param value its value
 */
public record StoredObject(ObjectKey key, long version, byte[] value) {

    public StoredObject {
        Checks.notNull(key, "key");
        Checks.notNull(value, "value");
    }
}
