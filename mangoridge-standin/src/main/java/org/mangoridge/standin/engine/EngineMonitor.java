package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;

import org.mangoridge.core.time.Clock;

/** Lets several threads use an engine's decisions and wait for what they bring. */
final class EngineMonitor {

    private static final Duration LONGEST_WAIT = Duration.ofMillis(250);

    private final EngineCore core;
    private final Clock clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    EngineMonitor(EngineCore core, Clock clock) {
        this.core = core;
        this.clock = clock;
    }

    /** Returns the time that decisions see. */
    Duration now() {
        return clock.elapsed();
    }

    /** Asks or tells the engine something; those who wait look again. */
    <T> T apply(BiFunction<EngineCore, Duration, T> action) {
        lock.lock();
        try {
            return action.apply(core, clock.elapsed());
        } finally {
            changed.signalAll();
            lock.unlock();
        }
    }

    /** Asks the engine something that changes nothing which others wait for. */
    <T> T query(BiFunction<EngineCore, Duration, T> question) {
        lock.lock();
        try {
            return question.apply(core, clock.elapsed());
        } finally {
            lock.unlock();
        }
    }

    /** Waits until a job is over; tells whether it was done. */
    boolean await(SerialWorker.Job job) {
        lock.lock();
        try {
            core.advance(clock.elapsed());
            while (!job.isOver()) {
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

    /** Waits while {@code condition} holds; looks again from time to time. */
    void awaitWhile(BooleanSupplier condition) {
        lock.lock();
        try {
            while (condition.getAsBoolean()) {
                changed.await(LONGEST_WAIT.toNanos(), TimeUnit.NANOSECONDS);
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
        Duration wait = core.nextCompletion().map(at -> at.minus(now)).orElse(LONGEST_WAIT);
        changed.await(Math.clamp(wait.toNanos(), 1, LONGEST_WAIT.toNanos()), TimeUnit.NANOSECONDS);
    }
}
