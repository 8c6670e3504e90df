package org.mangoridge.objects;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param revision the store's revision that the batch reaches; the next watch starts after it
 * @param complete false if the store no longer has every change since the start, so that the reader must list again
 * @param changes the changes in the order of their versions
 */
public record WatchBatch(long revision, boolean complete, List<WatchChange> changes) {

    public WatchBatch {
        changes = List.copyOf(changes);
    }
}
