package org.mangoridge.gateway.follow;

import java.util.List;

/**
 * What changed since a revision, in order.
 *
 * @param changes the changes, none if nothing changed in the time that was waited
 * @param revision the store's revision from which to go on
 * @param newest the revision of the newest of the changes, -1 if there are none
 */
public record FeedChanges<T>(List<Change<T>> changes, long revision, long newest) {

    public FeedChanges {
        changes = List.copyOf(changes);
    }

    /** One change. */
    public sealed interface Change<T> {

        /**
         * An object is new or changed.
         *
         * @param item the object
         */
        record Put<T>(T item) implements Change<T> {}

        /**
         * An object is no longer there.
         *
         * @param name its name
         */
        record Removed<T>(String name) implements Change<T> {}
    }
}
