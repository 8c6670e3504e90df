package org.mangoridge.entry.plain;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import org.mangoridge.claims.store.ClaimSweeper;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;

/** Periodically divides the platform-wide rate of claim writes among the live instances and sweeps old claims. */
public final class ClaimMaintenance implements AutoCloseable {

    private static final int PERIOD_SECONDS = 30;
    private static final double TOTAL_CLAIM_WRITES_PER_SECOND = 280;

    private final IntSupplier liveInstances;
    private final TokenBucket writes;
    private final ClaimSweeper sweeper;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("claim-upkeep").factory());

    private ClaimMaintenance(IntSupplier liveInstances, TokenBucket writes, ClaimSweeper sweeper) {
        this.liveInstances = liveInstances;
        this.writes = writes;
        this.sweeper = sweeper;
    }

    /**
     * Starts the periodic task, which {@link #close()} ends.
     *
     * @param liveInstances returns the number of live instances on the platform, including this one
     * @param writes the token bucket of claim writes whose rate is adjusted
     */
    public static ClaimMaintenance start(IntSupplier liveInstances, TokenBucket writes, ClaimSweeper sweeper) {
        ClaimMaintenance maintenance = new ClaimMaintenance(liveInstances, writes, sweeper);
        maintenance.timer.scheduleWithFixedDelay(maintenance::runOnce, 0, PERIOD_SECONDS, TimeUnit.SECONDS);
        return maintenance;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void runOnce() {
        try {
            writes.changeRate(TOTAL_CLAIM_WRITES_PER_SECOND / Math.max(1, liveInstances.getAsInt()));
            sweeper.sweepPage();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "claim upkeep"));
        }
    }
}
