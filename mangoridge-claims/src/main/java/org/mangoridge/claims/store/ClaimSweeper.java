package org.mangoridge.claims.store;

import java.time.Duration;
import java.util.List;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;

/**
 * Deletes claims whose retention has passed, a page at a time and within the write budget; calls block.
 *
 * <p>Not safe for use by several threads.
 */
public final class ClaimSweeper {

    /** How long a recorded or released claim is kept, counted from when it was made. */
    public static final Duration OUTCOME_RETENTION = Duration.ofHours(24);

    /** How long a claim in state CLAIMED is kept for an operator to settle, counted from when it was made. */
    public static final Duration STUCK_RETENTION = Duration.ofDays(7);

    private static final int PAGE_SIZE = 50;

    private final ObjectStore store;
    private final Clock clock;
    private final TokenBucket writeBudget;
    private String lastExamined = "";

    private ClaimSweeper(ObjectStore store, Clock clock, TokenBucket writeBudget) {
        this.store = store;
        this.clock = clock;
        this.writeBudget = writeBudget;
    }

    /** Returns a sweeper that takes one token of {@code writeBudget} for each deletion. */
    public static ClaimSweeper create(ObjectStore store, Clock clock, TokenBucket writeBudget) {
        return new ClaimSweeper(store, clock, writeBudget);
    }

    /** Examines the next page of claims and returns how many it deleted. */
    public int sweepPage() {
        Result<List<StoredObject>, StoreFailure> page = store.list(ClaimObjects.PREFIX, lastExamined, PAGE_SIZE);
        if (!page.isOk()) {
            return 0;
        }
        int deleted = 0;
        for (StoredObject object : page.value()) {
            if (isExpired(object)) {
                if (writeBudget.take(1).isPresent()) {
                    return deleted;
                }
                store.delete(object.key(), object.version());
                deleted++;
            }
            lastExamined = object.key().path();
        }
        if (page.value().size() < PAGE_SIZE) {
            lastExamined = "";
        }
        return deleted;
    }

    private boolean isExpired(StoredObject object) {
        Result<Claim, String> claim = ClaimObjects.decode(object.value());
        if (!claim.isOk()) {
            return false;
        }
        Duration age = Duration.between(claim.value().claimedAt(), clock.now());
        Duration retention = claim.value().state() == ClaimState.CLAIMED ? STUCK_RETENTION : OUTCOME_RETENTION;
        return age.compareTo(retention) > 0;
    }
}
