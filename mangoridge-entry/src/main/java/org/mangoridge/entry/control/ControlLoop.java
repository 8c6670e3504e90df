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
 * Runs everything that touches control state, one task at a time on one thread.
 *
 * <p>Tasks must not block. Any thread may submit one.
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

    /** Starts a loop whose thread has {@code name}. */
    public static ControlLoop start(String name) {
        return new ControlLoop(Checks.notBlank(name, "name"));
    }

    /** Returns the thread that runs the tasks. */
    public Thread thread() {
        return thread;
    }

    /** Runs {@code task} soon; dropped after the loop has closed. */
    public void post(Runnable task) {
        try {
            checkRoom();
            executor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            if (!executor.isShutdown()) {
                EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "control queue"));
            }
        }
    }

    /** Runs {@code question} soon and gives its answer. */
    public <T> CompletableFuture<T> ask(Supplier<T> question) {
        checkRoom();
        return CompletableFuture.supplyAsync(question, executor);
    }

    /** Runs {@code task} again and again, {@code interval} apart. */
    public void every(Duration interval, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void checkRoom() {
        if (executor.getQueue().size() >= MAX_PENDING_TASKS) {
            throw new RejectedExecutionException("the control queue is full");
        }
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "control"));
            }
        };
    }
}
