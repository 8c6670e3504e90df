package org.mangoridge.entry.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.mangoridge.core.Checks;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;

/**
 * Single-threaded event loop that runs all tasks which access control state, such as routing and membership.
 *
 * <p>Tasks run one at a time and must not block. Any thread may submit them.
 */
public final class ControlLoop implements AutoCloseable {

    private static final int MAX_PENDING_TASKS = 100_000;

    private final ScheduledThreadPoolExecutor executor;

    private volatile Thread thread;

    private ControlLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            thread = Thread.ofPlatform().name(name).daemon(true).unstarted(task);
            return thread;
        });
        executor.prestartAllCoreThreads();
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Starts a loop whose thread is named {@code name}. */
    public static ControlLoop start(String name) {
        return new ControlLoop(Checks.notBlank(name, "name"));
    }

    /** Returns the thread that runs the tasks. */
    public Thread thread() {
        return thread;
    }

    /**
     * Enqueues {@code task}.
     *
     * <p>The task is dropped silently if the loop is closed, and with a log entry if the queue is full. An exception
     * thrown by the task is logged.
     */
    public void post(Runnable task) {
        try {
            checkCapacity();
            executor.execute(logFailures(task));
        } catch (RejectedExecutionException e) {
            if (!executor.isShutdown()) {
                EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "control queue"));
            }
        }
    }

    /**
     * Enqueues {@code task} and returns a future of its result.
     *
     * @throws RejectedExecutionException if the queue is full or the loop is closed
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        checkCapacity();
        return CompletableFuture.supplyAsync(task, executor);
    }

    /** Runs {@code task} repeatedly, with {@code interval} between the end of a run and the start of the next. */
    public void every(Duration interval, Runnable task) {
        executor.scheduleWithFixedDelay(
                logFailures(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void checkCapacity() {
        if (executor.getQueue().size() >= MAX_PENDING_TASKS) {
            throw new RejectedExecutionException(
                    "the control queue has reached its limit of " + MAX_PENDING_TASKS + " tasks");
        }
    }

    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "control"));
            }
        };
    }
}
