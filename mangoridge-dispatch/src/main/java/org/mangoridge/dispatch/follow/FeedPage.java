package org.mangoridge.dispatch.follow;

import java.util.List;
import java.util.Optional;

/**
 * A page of the list of objects.
 *
 * @param items the objects of the page
 * @param next the name after which the next page starts; empty if this is the last page
 * @param revision the store's revision at which the page was read
 * @param newest the revision of the newest change to the objects of the page; -1 if the page is empty
 */
public record FeedPage<T>(List<T> items, Optional<String> next, long revision, long newest) {

    public FeedPage {
        items = List.copyOf(items);
    }
}
