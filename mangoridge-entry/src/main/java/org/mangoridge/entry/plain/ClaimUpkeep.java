package org.mangoridge.entry.plain;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.mangoridge.claims.store.ClaimSweeper;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.platform.ListedInstance;
import org.mangoridge.platform.ObjectStore;
import org.mangoridge.platform.StoreFailure;

/** Shares the platform's writes for claims among the listed instances and sweeps old claims, on a timer. */
public final class ClaimUpkeep implements AutoCloseable {

    private static final int PERIOD_SECONDS = 30;
    private static final double CLAIM_WRITES_PER_SECOND_OF_ALL = 280;

    private final ObjectStore store;
    private final TokenBucket writes;
    private final ClaimSweeper sweeper;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("claim-upkeep").factory());

    private ClaimUpkeep(ObjectStore store, TokenBucket writes, ClaimSweeper sweeper) {
        this.store = store;
        this.writes = writes;
        this.sweeper = sweeper;
    }

    /** Starts the timer, which ends on {@link #close()}. */
    public static ClaimUpkeep start(ObjectStore store, TokenBucket writes, ClaimSweeper sweeper) {
        ClaimUpkeep upkeep = new ClaimUpkeep(store, writes, sweeper);
        upkeep.timer.scheduleWithFixedDelay(upkeep::turn, PERIOD_SECONDS, PERIOD_SECONDS, TimeUnit.SECONDS);
        return upkeep;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void turn() {
        try {
            Result<List<ListedInstance>, StoreFailure> listed = store.instances();
            if (listed.isOk() && !listed.value().isEmpty()) {
                writes.changeRate(
                        CLAIM_WRITES_PER_SECOND_OF_ALL / listed.value().size());
            }
            sweeper.sweepPage();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "claim upkeep"));
        }
    }
}
