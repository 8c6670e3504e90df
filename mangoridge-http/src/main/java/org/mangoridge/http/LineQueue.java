package org.mangoridge.http;

import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;

import org.mangoridge.core.Result;
import org.mangoridge.core.verdict.AttemptProgress;

/** Hands the lines of a streamed answer to one reader, a bounded number ahead of it. */
final class LineQueue implements Flow.Subscriber<String> {

    private static final int LINES_AHEAD = 64;

    /** What the stream brought. */
    private sealed interface Item {}

    private record Line(String text) implements Item {}

    private record Broken(String detail) implements Item {}

    private record Ended() implements Item {}

    private final BlockingQueue<Item> items = new ArrayBlockingQueue<>(LINES_AHEAD + 2);
    private volatile Flow.Subscription subscription;
    private volatile boolean closed;

    static BodySubscriber<LineQueue> subscriber() {
        LineQueue queue = new LineQueue();
        BodySubscriber<Void> lines = BodySubscribers.fromLineSubscriber(queue, q -> null, StandardCharsets.UTF_8, null);
        return new EarlySubscriber(queue, lines);
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        if (closed) {
            newSubscription.cancel();
            return;
        }
        newSubscription.request(LINES_AHEAD);
    }

    @Override
    public void onNext(String line) {
        items.offer(new Line(line));
    }

    @Override
    public void onError(Throwable cause) {
        items.offer(new Broken(String.valueOf(cause.getMessage())));
    }

    @Override
    public void onComplete() {
        items.offer(new Ended());
    }

    /** Waits at most {@code timeout} for a line, else runs {@code onSilence}; empty at the end of a whole answer. */
    Result<Optional<String>, HttpFailure> next(Duration timeout, Runnable onSilence) {
        try {
            return switch (items.poll(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                case null -> {
                    onSilence.run();
                    yield broken("no progress within " + timeout.toMillis() + " ms");
                }
                case Line line -> {
                    subscription.request(1);
                    yield Result.ok(Optional.of(line.text()));
                }
                case Broken broken -> broken(broken.detail());
                case Ended ended -> Result.ok(Optional.empty());
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return broken("interrupted");
        }
    }

    void close() {
        closed = true;
        Flow.Subscription current = subscription;
        if (current != null) {
            current.cancel();
        }
    }

    private static Result<Optional<String>, HttpFailure> broken(String detail) {
        return Result.err(new HttpFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail));
    }

    /** Gives the queue as the body before the body's end. */
    private record EarlySubscriber(LineQueue queue, BodySubscriber<Void> lines) implements BodySubscriber<LineQueue> {

        @Override
        public CompletionStage<LineQueue> getBody() {
            return CompletableFuture.completedFuture(queue);
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            lines.onSubscribe(subscription);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            lines.onNext(buffers);
        }

        @Override
        public void onError(Throwable cause) {
            lines.onError(cause);
        }

        @Override
        public void onComplete() {
            lines.onComplete();
        }
    }
}
