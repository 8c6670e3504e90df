package org.mangoridge.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Result;

/**
 * Follows the objects of one kind: lists them, then watches from the revision of the list; used on the event loop.
 *
 * <p>Lost history leads to a new list. Failures lead to another try after a pause that grows and is drawn at random, so
 * that instances do not return together.
 */
public final class Follower<T> {

    /** How long one watch waits; each call is paid for, and a peer's word or a keep-alive shows a silent one sooner. */
    public static final Duration WATCH_WAIT = Duration.ofSeconds(15);

    /** The wait of the first watch after a failure, so that its answer shows when the store is back. */
    private static final Duration SHORT_WAIT = Duration.ofMillis(10);

    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    private final Duration rest;
    private final ObjectFeed<T> feed;
    private final FeedListener<T> listener;
    private final BiConsumer<Duration, Runnable> timer;
    private final RandomGenerator random;
    private final List<T> collected = new ArrayList<>();
    private Duration pause = FIRST_PAUSE;
    private long revision = -1;
    private long newestChange = -1;
    /** The revision of the first page: changes between pages are seen by the watch. */
    private long listRevision = -1;

    private int round;
    private boolean failing;

    private Follower(
            ObjectFeed<T> feed,
            FeedListener<T> listener,
            Duration rest,
            BiConsumer<Duration, Runnable> timer,
            RandomGenerator random) {
        this.rest = rest;
        this.feed = feed;
        this.listener = listener;
        this.timer = timer;
        this.random = random;
    }

    /**
     * Returns a follower that has not begun.
     *
     * @param rest how long changes are left to gather after some came, since each call is paid for
     * @param timer runs a task on the event loop after a time
     */
    public static <T> Follower<T> create(
            ObjectFeed<T> feed,
            FeedListener<T> listener,
            Duration rest,
            BiConsumer<Duration, Runnable> timer,
            RandomGenerator random) {
        return new Follower<>(feed, listener, rest, timer, random);
    }

    /** Lists the objects and follows them from there; a call in progress is no longer heard. */
    public void restart() {
        round++;
        listRevision = -1;
        collected.clear();
        list(Optional.empty(), round);
    }

    /** Returns the revision up to which every change is known, -1 if none is. */
    public long revision() {
        return revision;
    }

    /** Returns the revision of the newest change that was seen, -1 if none was. */
    public long newestChange() {
        return newestChange;
    }

    /** Asks anew for what changed since then; a call in progress is no longer heard. */
    public void restartWatch() {
        if (revision < 0) {
            restart();
        } else {
            round++;
            watch(round);
        }
    }

    private void list(Optional<String> after, int of) {
        feed.list(after, answer -> {
            if (of != round) {
                return;
            }
            switch (answer) {
                case Result.Ok<FeedPage<T>, FeedFailure> page -> listed(page.value(), of);
                case Result.Err<FeedPage<T>, FeedFailure> failure -> failed(failure.error(), this::restart);
            }
        });
    }

    private void listed(FeedPage<T> page, int of) {
        answered();
        if (listRevision < 0) {
            listRevision = page.revision();
        }
        collected.addAll(page.items());
        newestChange = Math.max(newestChange, page.newest());
        if (page.next().isPresent()) {
            list(page.next(), of);
            return;
        }
        revision = listRevision;
        listener.replaced(List.copyOf(collected));
        collected.clear();
        watch(of);
    }

    private void watch(int of) {
        feed.watch(revision, failing ? SHORT_WAIT : WATCH_WAIT, answer -> {
            if (of != round) {
                return;
            }
            switch (answer) {
                case Result.Ok<FeedChanges<T>, FeedFailure> changes -> changed(changes.value(), of);
                case Result.Err<FeedChanges<T>, FeedFailure> failure -> watchFailed(failure.error(), of);
            }
        });
    }

    private void changed(FeedChanges<T> changes, int of) {
        answered();
        for (FeedChanges.Change<T> change : changes.changes()) {
            switch (change) {
                case FeedChanges.Change.Put<T> put -> listener.put(put.item());
                case FeedChanges.Change.Removed<T> removed -> listener.removed(removed.name());
            }
        }
        revision = Math.max(revision, changes.revision());
        newestChange = Math.max(newestChange, changes.newest());
        if (changes.changes().isEmpty()) {
            watch(of);
        } else {
            timer.accept(rest, () -> {
                if (of == round) {
                    watch(of);
                }
            });
        }
    }

    private void watchFailed(FeedFailure failure, int of) {
        if (failure.kind() == FeedFailure.Kind.HISTORY_GONE) {
            restart();
        } else {
            failed(failure, () -> watch(of));
        }
    }

    private void failed(FeedFailure failure, Runnable again) {
        if (failure.kind() == FeedFailure.Kind.UNAVAILABLE) {
            failing = true;
            listener.reachable(false, failure.detail());
        }
        int of = round;
        Duration wait = Duration.ofNanos((long) (pause.toNanos() * (0.5 + random.nextDouble())));
        pause = pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.multipliedBy(2);
        timer.accept(wait, () -> {
            if (of == round) {
                again.run();
            }
        });
    }

    private void answered() {
        pause = FIRST_PAUSE;
        failing = false;
        listener.reachable(true, "");
    }
}
