package org.mangoridge.objects;

/** One change of an object. */
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
     * @param key its name
     * @param version the store's revision at the deletion
     */
    record Deleted(ObjectKey key, long version) implements WatchChange {}
}
