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
 * Sends cancels to engines, which release the resources of an attempt, and retries until they are acknowledged;
 * thread-safe.
 *
 * <p>Retries open a new connection, because a pooled connection may be broken without having been closed.
 */
public final class CancelSender implements AutoCloseable {

    private static final int MAX_PENDING_CANCELS = 4096;
    private static final int MAX_CALLS = 10;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final int MAX_BACKOFF_DOUBLINGS = 7;

    private final EngineDirectory engines;
    private final Semaphore permits = new Semaphore(MAX_PENDING_CANCELS);
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    private CancelSender(EngineDirectory engines) {
        this.engines = engines;
    }

    /** Returns a sender that looks up engines in {@code engines}. */
    public static CancelSender create(EngineDirectory engines) {
        return new CancelSender(engines);
    }

    /**
     * Sends a cancel asynchronously; a cancel that is never acknowledged is logged.
     *
     * @param address the address of the engine
     * @param attempt the attempt to cancel
     * @param newConnection whether already the first call opens a new connection
     */
    public void cancel(HostPort address, AttemptId attempt, boolean newConnection) {
        if (!permits.tryAcquire()) {
            logUnacknowledged(address, attempt, "not sent because too many cancels are pending");
            return;
        }
        try {
            executor.execute(() -> {
                try {
                    sendUntilAcknowledged(address, attempt, newConnection);
                } finally {
                    permits.release();
                }
            });
        } catch (RejectedExecutionException e) {
            permits.release();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void sendUntilAcknowledged(HostPort address, AttemptId attempt, boolean newConnection) {
        ModelEngine engine = engines.engineAt(address);
        String detail = "";
        for (int retries = 0; retries < MAX_CALLS; retries++) {
            Result<EngineMessages.CancelResponse, EngineError> result =
                    newConnection || retries > 0 ? engine.cancelOnNewConnection(attempt) : engine.cancel(attempt);
            if (result.isOk()) {
                return;
            }
            detail = result.error().detail();
            if (!sleep(INITIAL_BACKOFF.multipliedBy(1L << Math.min(retries, MAX_BACKOFF_DOUBLINGS)))) {
                break;
            }
        }
        logUnacknowledged(address, attempt, detail);
    }

    private static boolean sleep(Duration backoff) {
        try {
            Thread.sleep(backoff);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void logUnacknowledged(HostPort address, AttemptId attempt, String detail) {
        EventLog.write(
                LogEvent.CANCEL_UNACKNOWLEDGED,
                Field.of("attempt", attempt),
                Field.of("address", address),
                Field.of("detail", detail));
    }
}
