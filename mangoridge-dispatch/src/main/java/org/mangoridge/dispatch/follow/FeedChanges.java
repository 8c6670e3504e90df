package org.mangoridge.dispatch.follow;

import java.util.List;

/**
 * The changes since a revision, in order.
 *
 * @param changes the changes; empty if there were none before the wait ended
 * @param revision the store's revision from which to continue the watch
 * @param newest the revision of the newest change; -1 if there is none
 */
public record FeedChanges<T>(List<Change<T>> changes, long revision, long newest) {

    public FeedChanges {
        changes = List.copyOf(changes);
    }

    /** A change of one object. */
    public sealed interface Change<T> {

        /**
         * An object was created or changed.
         *
         * @param item the object
         */
        record Put<T>(T item) implements Change<T> {}

        /**
         * An object was removed.
         *
         * @param name its name
         */
        record Removed<T>(String name) implements Change<T> {}
    }
}
