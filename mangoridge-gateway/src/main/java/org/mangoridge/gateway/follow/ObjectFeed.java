package org.mangoridge.gateway.follow;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangoridge.core.Result;

/** Reads the objects of one kind from a store; each call is answered once, on the event loop. */
public interface ObjectFeed<T> {

    /** Lists objects whose names come after {@code after}. */
    void list(Optional<String> after, Consumer<Result<FeedPage<T>, FeedFailure>> answer);

    /** Waits at most {@code wait} for changes after {@code revision}. */
    void watch(long revision, Duration wait, Consumer<Result<FeedChanges<T>, FeedFailure>> answer);
}
