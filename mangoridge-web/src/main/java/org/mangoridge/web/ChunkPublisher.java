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

/** Carries pieces from one blocking writer to one subscriber, a bounded number ahead of it. */
final class ChunkPublisher implements Publisher<ByteBuf>, StreamSink {

    private static final int PIECES_AHEAD = 64;

    private enum End {
        NONE,
        COMPLETE,
        ABORTED
    }

    /** What to tell the subscriber next. */
    private sealed interface Signal {}

    private record Piece(byte[] bytes) implements Signal {}

    private record Ended(End end) implements Signal {}

    private final Duration slowest;
    private final Runnable cut;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition room = lock.newCondition();
    private final Queue<byte[]> pieces = new ArrayDeque<>();
    private Subscriber<? super ByteBuf> subscriber;
    private long demand;
    private boolean emitting;
    private boolean closed;
    private End end = End.NONE;

    /**
     * Creates a publisher.
     *
     * @param slowest how long a write may wait for the subscriber
     * @param cut closes the connection; an error signal won't do, since the server ends the body as if it were whole
     */
    ChunkPublisher(Duration slowest, Runnable cut) {
        this.slowest = slowest;
        this.cut = cut;
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
                closeNow();
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
    public boolean write(byte[] piece) {
        lock.lock();
        try {
            if (!awaitRoom()) {
                return false;
            }
            pieces.add(piece);
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

    /** Ends the stream after the pieces written, unless it was aborted. */
    void complete() {
        finish(End.COMPLETE);
    }

    private boolean awaitRoom() throws InterruptedException {
        long remaining = slowest.toNanos();
        while (!closed && end == End.NONE && pieces.size() >= PIECES_AHEAD) {
            if (remaining <= 0) {
                return false;
            }
            remaining = room.awaitNanos(remaining);
        }
        return !closed && end == End.NONE;
    }

    private void finish(End how) {
        lock.lock();
        try {
            if (end == End.NONE) {
                end = how;
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

    private void closeNow() {
        lock.lock();
        try {
            closed = true;
            pieces.clear();
            room.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Sends what demand allows; a second thread that comes here leaves the sending to the first. */
    private void emit() {
        Signal signal = nextSignal(false);
        while (signal != null) {
            send(signal);
            signal = nextSignal(true);
        }
    }

    private Signal nextSignal(boolean sentOne) {
        lock.lock();
        try {
            if (sentOne) {
                emitting = false;
            }
            if (emitting || subscriber == null || closed) {
                return null;
            }
            Signal signal = takeSignal();
            emitting = signal != null;
            return signal;
        } finally {
            lock.unlock();
        }
    }

    private Signal takeSignal() {
        if (end == End.ABORTED || (end == End.COMPLETE && pieces.isEmpty())) {
            closed = true;
            return new Ended(end);
        }
        if (pieces.isEmpty() || demand == 0) {
            return null;
        }
        demand--;
        room.signal();
        return new Piece(pieces.poll());
    }

    private void send(Signal signal) {
        switch (signal) {
            case Piece piece -> subscriber.onNext(Unpooled.wrappedBuffer(piece.bytes()));
            case Ended ended when ended.end() == End.ABORTED -> cut.run();
            case Ended ended -> subscriber.onComplete();
        }
    }
}
