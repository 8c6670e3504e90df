package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;

import org.mangoridge.core.time.Clock;

/** Serialises access to an {@link EngineCore} by several threads, and lets them wait for its jobs. */
final class EngineMonitor {

    private static final Duration MAX_WAIT = Duration.ofMillis(250);

    private final EngineCore core;
    private final Clock clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    EngineMonitor(EngineCore core, Clock clock) {
        this.core = core;
        this.clock = clock;
    }

    /** Returns the current time, as passed to the engine core. */
    Duration now() {
        return clock.elapsed();
    }

    /** Runs an action that may change the engine's state, and wakes waiting threads. */
    <T> T apply(BiFunction<EngineCore, Duration, T> action) {
        lock.lock();
        try {
            return action.apply(core, clock.elapsed());
        } finally {
            changed.signalAll();
            lock.unlock();
        }
    }

    /** Runs a query whose effects no waiting thread depends on; wakes none. */
    <T> T query(BiFunction<EngineCore, Duration, T> question) {
        lock.lock();
        try {
            return question.apply(core, clock.elapsed());
        } finally {
            lock.unlock();
        }
    }

    /** Waits until a job ends; returns whether it completed. */
    boolean await(SerialWorker.Job job) {
        lock.lock();
        try {
            core.advance(clock.elapsed());
            while (!job.isFinished()) {
                awaitChange();
                core.advance(clock.elapsed());
            }
            changed.signalAll();
            return job.state() == SerialWorker.State.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    /** Waits while {@code condition} holds; rechecks it after every change and at least every {@link #MAX_WAIT}. */
    void awaitWhile(BooleanSupplier condition) {
        lock.lock();
        try {
            while (condition.getAsBoolean()) {
                changed.await(MAX_WAIT.toNanos(), TimeUnit.NANOSECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    /** Sleeps until {@code time}. */
    void sleepUntil(Duration time) {
        Duration left = time.minus(clock.elapsed());
        if (!left.isPositive()) {
            return;
        }
        try {
            Thread.sleep(left);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitChange() throws InterruptedException {
        Duration now = clock.elapsed();
        Duration wait = core.nextCompletion().map(at -> at.minus(now)).orElse(MAX_WAIT);
        changed.await(Math.clamp(wait.toNanos(), 1, MAX_WAIT.toNanos()), TimeUnit.NANOSECONDS);
    }
}
