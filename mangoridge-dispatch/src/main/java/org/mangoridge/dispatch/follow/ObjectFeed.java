package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangoridge.core.Result;

/** Reads the objects of one kind from a store; each callback runs once, on the event loop. */
public interface ObjectFeed<T> {

    /**
     * Lists a page of the objects whose names come after {@code after}, or the first page if it is empty.
     *
     * @param timeout the time limit of the call
     */
    void list(Optional<String> after, Duration timeout, Consumer<Result<FeedPage<T>, FeedFailure>> answer);

    /**
     * Waits at most {@code wait} for changes after {@code revision}; the answer has no changes if there were none.
     *
     * @param timeout the time limit of the call, in addition to {@code wait}
     */
    void watch(long revision, Duration wait, Duration timeout, Consumer<Result<FeedChanges<T>, FeedFailure>> answer);
}
