package org.mangoridge.http;

import java.io.IOException;
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

/** Buffers the lines of a streamed answer for one reader; requests at most a fixed number of lines in advance. */
final class LineQueue implements Flow.Subscriber<String> {

    private static final int MAX_REQUESTED_LINES = 64;
    /** Maximum size of a line; engines never send larger ones. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** A line, or the end of the stream. */
    private sealed interface Item {}

    private record Line(String text) implements Item {}

    private record Failed(String detail) implements Item {}

    private record End() implements Item {}

    private final BlockingQueue<Item> items = new ArrayBlockingQueue<>(MAX_REQUESTED_LINES + 2);
    private volatile Flow.Subscription subscription;
    private volatile boolean closed;

    static BodySubscriber<LineQueue> subscriber() {
        LineQueue queue = new LineQueue();
        BodySubscriber<Void> lines = BodySubscribers.fromLineSubscriber(queue, q -> null, StandardCharsets.UTF_8, null);
        return new ImmediateSubscriber(queue, lines);
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        if (closed) {
            newSubscription.cancel();
            return;
        }
        newSubscription.request(MAX_REQUESTED_LINES);
    }

    @Override
    public void onNext(String line) {
        items.offer(new Line(line));
    }

    @Override
    public void onError(Throwable cause) {
        items.offer(new Failed(String.valueOf(cause.getMessage())));
    }

    @Override
    public void onComplete() {
        items.offer(new End());
    }

    /**
     * Returns the next line, or empty at the end of a complete answer.
     *
     * @param timeout the maximum wait
     * @param onTimeout runs if the wait times out
     */
    Result<Optional<String>, HttpFailure> next(Duration timeout, Runnable onTimeout) {
        try {
            return switch (items.poll(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                case null -> {
                    onTimeout.run();
                    yield failed("no data received within " + timeout.toMillis() + " ms");
                }
                case Line line -> {
                    subscription.request(1);
                    yield Result.ok(Optional.of(line.text()));
                }
                case Failed failed -> failed(failed.detail());
                case End end -> Result.ok(Optional.empty());
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed("interrupted while waiting for data");
        }
    }

    void close() {
        closed = true;
        Flow.Subscription current = subscription;
        if (current != null) {
            current.cancel();
        }
    }

    private static Result<Optional<String>, HttpFailure> failed(String detail) {
        return Result.err(new HttpFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail));
    }

    /**
     * Completes the body with the queue at once, so that lines can be read before the answer ends; fails the stream if a line
     * is too large.
     */
    private static final class ImmediateSubscriber implements BodySubscriber<LineQueue> {

        private final LineQueue queue;
        private final BodySubscriber<Void> lines;
        private Flow.Subscription subscription;
        private long lineBytes;
        private boolean failed;

        private ImmediateSubscriber(LineQueue queue, BodySubscriber<Void> lines) {
            this.queue = queue;
            this.lines = lines;
        }

        @Override
        public CompletionStage<LineQueue> getBody() {
            return CompletableFuture.completedFuture(queue);
        }

        @Override
        public void onSubscribe(Flow.Subscription newSubscription) {
            subscription = newSubscription;
            lines.onSubscribe(newSubscription);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            if (failed) {
                return;
            }
            for (ByteBuffer buffer : buffers) {
                count(buffer);
            }
            if (lineBytes > MAX_LINE_BYTES) {
                failed = true;
                subscription.cancel();
                lines.onError(new IOException("line is larger than " + MAX_LINE_BYTES + " bytes"));
                return;
            }
            lines.onNext(buffers);
        }

        /** Counts the bytes since the last end of a line. */
        private void count(ByteBuffer buffer) {
            int last = buffer.limit() - 1;
            while (last >= buffer.position() && buffer.get(last) != '\n') {
                last--;
            }
            boolean ends = last >= buffer.position();
            lineBytes = ends ? buffer.limit() - 1 - last : lineBytes + buffer.remaining();
        }

        @Override
        public void onError(Throwable cause) {
            if (!failed) {
                lines.onError(cause);
            }
        }

        @Override
        public void onComplete() {
            if (!failed) {
                lines.onComplete();
            }
        }
    }
}
