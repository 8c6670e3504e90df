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

/** Shares the platform's writes for claims among the live instances and sweeps old claims, on a timer. */
public final class ClaimUpkeep implements AutoCloseable {

    private static final int PERIOD_SECONDS = 30;
    private static final double CLAIM_WRITES_PER_SECOND_OF_ALL = 280;

    private final IntSupplier liveInstances;
    private final TokenBucket writes;
    private final ClaimSweeper sweeper;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("claim-upkeep").factory());

    private ClaimUpkeep(IntSupplier liveInstances, TokenBucket writes, ClaimSweeper sweeper) {
        this.liveInstances = liveInstances;
        this.writes = writes;
        this.sweeper = sweeper;
    }

    /**
     * Starts the timer, which ends on {@link #close()}.
     *
     * @param liveInstances how many instances share the platform, this one included; at least 1
     */
    public static ClaimUpkeep start(IntSupplier liveInstances, TokenBucket writes, ClaimSweeper sweeper) {
        ClaimUpkeep upkeep = new ClaimUpkeep(liveInstances, writes, sweeper);
        upkeep.timer.scheduleWithFixedDelay(upkeep::turn, 0, PERIOD_SECONDS, TimeUnit.SECONDS);
        return upkeep;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void turn() {
        try {
            writes.changeRate(CLAIM_WRITES_PER_SECOND_OF_ALL / Math.max(1, liveInstances.getAsInt()));
            sweeper.sweepPage();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "claim upkeep"));
        }
    }
}
