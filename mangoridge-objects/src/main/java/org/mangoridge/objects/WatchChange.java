package org.mangoridge.objects;

/** A change of an object, as reported by a watch. */
public sealed interface WatchChange {

    /**
     * An object was written.
     *
     * @param object the object after the write
     */
    record Put(StoredObject object) implements WatchChange {}

    /**
     * An object was deleted.
     *
     * @param key its key
     * @param version the store's revision of the deletion
     */
    record Deleted(ObjectKey key, long version) implements WatchChange {}
}
