package org.mangoridge.objects;

import java.util.List;

/**
 * The changes that a watch returned.
 *
 * @param revision the store's revision up to which the batch covers changes; the next watch continues after it
 * @param complete whether no change is missing; if false, the store has discarded some of them and the reader must list
 *     the objects again
 * @param changes the changes, in ascending order of their versions
 */
public record WatchBatch(long revision, boolean complete, List<WatchChange> changes) {

    public WatchBatch {
        changes = List.copyOf(changes);
    }
}
