package org.mangoridge.entry.model;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;

/**
 * Tells engines to release what attempts hold, until they acknowledge it; safe for use by several threads.
 *
 * <p>Repetitions use a new connection, since the one used before may be dead without anyone knowing.
 */
public final class CancelSender implements AutoCloseable {

    private static final int MAX_PENDING = 4096;
    private static final int MAX_TRIES = 10;
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final int MAX_DOUBLINGS = 7;

    private final EngineDirectory engines;
    private final Semaphore pending = new Semaphore(MAX_PENDING);
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    private CancelSender(EngineDirectory engines) {
        this.engines = engines;
    }

    /** Returns a sender to the engines of {@code engines}. */
    public static CancelSender create(EngineDirectory engines) {
        return new CancelSender(engines);
    }

    /**
     * Sends a cancel and returns at once.
     *
     * @param newConnection whether the first try uses a new connection too
     */
    public void cancel(HostPort address, AttemptId attempt, boolean newConnection) {
        if (!pending.tryAcquire()) {
            unacknowledged(address, attempt, "too many cancels are pending");
            return;
        }
        try {
            threads.execute(() -> {
                try {
                    repeat(address, attempt, newConnection);
                } finally {
                    pending.release();
                }
            });
        } catch (RejectedExecutionException e) {
            pending.release();
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private void repeat(HostPort address, AttemptId attempt, boolean newConnection) {
        ModelEngine engine = engines.engineAt(address);
        String detail = "";
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            Result<EngineMessages.CancelResponse, EngineError> released =
                    newConnection || tries > 0 ? engine.cancelOnNewConnection(attempt) : engine.cancel(attempt);
            if (released.isOk()) {
                return;
            }
            detail = released.error().detail();
            if (!pause(FIRST_PAUSE.multipliedBy(1L << Math.min(tries, MAX_DOUBLINGS)))) {
                break;
            }
        }
        unacknowledged(address, attempt, detail);
    }

    private static boolean pause(Duration pause) {
        try {
            Thread.sleep(pause);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void unacknowledged(HostPort address, AttemptId attempt, String detail) {
        EventLog.write(
                LogEvent.CANCEL_UNACKNOWLEDGED,
                Field.of("attempt", attempt),
                Field.of("address", address),
                Field.of("detail", detail));
    }
}
