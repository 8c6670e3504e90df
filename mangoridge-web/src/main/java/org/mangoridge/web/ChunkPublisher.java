package org.mangoridge.web;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Passes chunks from one blocking writer to one subscriber through a bounded buffer. */
final class ChunkPublisher implements Publisher<ByteBuf>, StreamSink {

    private static final int MAX_BUFFERED_CHUNKS = 64;

    private enum End {
        NONE,
        COMPLETE,
        ABORTED
    }

    /** The next signal to the subscriber. */
    private sealed interface Signal {}

    private record Chunk(byte[] bytes) implements Signal {}

    private record Ended(End end) implements Signal {}

    private final Duration writeTimeout;
    private final Runnable closeConnection;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition spaceAvailable = lock.newCondition();
    private final Queue<byte[]> chunks = new ArrayDeque<>();
    private Subscriber<? super ByteBuf> subscriber;
    private long demand;
    private boolean emitting;
    private boolean closed;
    private End end = End.NONE;

    /**
     * Creates a publisher.
     *
     * @param writeTimeout how long a write waits at most for space in the buffer
     * @param closeConnection closes the connection to abort the stream; after an error signal the server would end the
     *     body as if it were complete
     */
    ChunkPublisher(Duration writeTimeout, Runnable closeConnection) {
        this.writeTimeout = writeTimeout;
        this.closeConnection = closeConnection;
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        newSubscriber.onSubscribe(new Subscription() {
            @Override
            public void request(long count) {
                addDemand(count);
            }

            @Override
            public void cancel() {
                cancelSubscription();
            }
        });
        lock.lock();
        try {
            subscriber = newSubscriber;
        } finally {
            lock.unlock();
        }
        emit();
    }

    @Override
    public boolean write(byte[] chunk) {
        lock.lock();
        try {
            if (!awaitSpace()) {
                return false;
            }
            chunks.add(chunk);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
        emit();
        return true;
    }

    @Override
    public void abort() {
        finish(End.ABORTED);
    }

    /** Ends the stream after the chunks written so far, unless it was aborted. */
    void complete() {
        finish(End.COMPLETE);
    }

    private boolean awaitSpace() throws InterruptedException {
        long remaining = writeTimeout.toNanos();
        while (!closed && end == End.NONE && chunks.size() >= MAX_BUFFERED_CHUNKS) {
            if (remaining <= 0) {
                return false;
            }
            remaining = spaceAvailable.awaitNanos(remaining);
        }
        return !closed && end == End.NONE;
    }

    private void finish(End newEnd) {
        lock.lock();
        try {
            if (end == End.NONE) {
                end = newEnd;
            }
        } finally {
            lock.unlock();
        }
        emit();
    }

    private void addDemand(long count) {
        lock.lock();
        try {
            demand = count >= Long.MAX_VALUE - demand ? Long.MAX_VALUE : demand + count;
        } finally {
            lock.unlock();
        }
        emit();
    }

    private void cancelSubscription() {
        lock.lock();
        try {
            closed = true;
            chunks.clear();
            spaceAvailable.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Sends as many signals as the demand allows; returns at once if another thread is sending. */
    private void emit() {
        Signal signal = nextSignal(false);
        while (signal != null) {
            send(signal);
            signal = nextSignal(true);
        }
    }

    private Signal nextSignal(boolean hasSent) {
        lock.lock();
        try {
            if (hasSent) {
                emitting = false;
            }
            if (emitting || subscriber == null || closed) {
                return null;
            }
            Signal signal = pollSignal();
            emitting = signal != null;
            return signal;
        } finally {
            lock.unlock();
        }
    }

    private Signal pollSignal() {
        if (end == End.ABORTED || (end == End.COMPLETE && chunks.isEmpty())) {
            closed = true;
            return new Ended(end);
        }
        if (chunks.isEmpty() || demand == 0) {
            return null;
        }
        demand--;
        spaceAvailable.signal();
        return new Chunk(chunks.poll());
    }

    private void send(Signal signal) {
        switch (signal) {
            case Chunk chunk -> subscriber.onNext(Unpooled.wrappedBuffer(chunk.bytes()));
            case Ended ended when ended.end() == End.ABORTED -> closeConnection.run();
            case Ended ended -> subscriber.onComplete();
        }
    }
}
