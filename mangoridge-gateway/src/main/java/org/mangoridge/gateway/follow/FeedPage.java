package org.mangoridge.gateway.follow;

import java.util.List;
import java.util.Optional;

/**
 * Some of the objects of a kind.
 *
 * @param items the objects
 * @param next the name after which the next page starts; empty if this is the last one
 * @param revision the store's revision that the page shows
 * @param newest the revision of the newest change of an object of the page, -1 if it has none
 */
public record FeedPage<T>(List<T> items, Optional<String> next, long revision, long newest) {

    public FeedPage {
        items = List.copyOf(items);
    }
}
