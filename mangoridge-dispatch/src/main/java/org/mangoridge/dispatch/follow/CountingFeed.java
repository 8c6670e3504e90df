package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangoridge.core.Result;

/**
 * Reports each call of a feed, whatever its answer, before it is made.
 *
 * @param feed makes the calls
 * @param onCall called for each page and each watch
 */
public record CountingFeed<T>(ObjectFeed<T> feed, Runnable onCall) implements ObjectFeed<T> {

    @Override
    public void list(Optional<String> after, Duration timeout, Consumer<Result<FeedPage<T>, FeedFailure>> answer) {
        onCall.run();
        feed.list(after, timeout, answer);
    }

    @Override
    public void watch(
            long revision, Duration wait, Duration timeout, Consumer<Result<FeedChanges<T>, FeedFailure>> answer) {
        onCall.run();
        feed.watch(revision, wait, timeout, answer);
    }
}
