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
 * Deletes claims whose retention has passed, a page at a time and from the budget of writes; calls block.
 *
 * <p>Not safe for use by several threads.
 */
public final class ClaimSweeper {

    /** How long an outcome is held after its claim was made. */
    public static final Duration OUTCOME_RETENTION = Duration.ofHours(24);

    /** How long a claim without an outcome is held for an operator to settle. */
    public static final Duration STUCK_RETENTION = Duration.ofDays(7);

    private static final int PAGE = 50;

    private final ObjectStore store;
    private final Clock clock;
    private final TokenBucket budget;
    private String after = "";

    private ClaimSweeper(ObjectStore store, Clock clock, TokenBucket budget) {
        this.store = store;
        this.clock = clock;
        this.budget = budget;
    }

    /** Returns a sweeper that deletes from {@code budget}. */
    public static ClaimSweeper create(ObjectStore store, Clock clock, TokenBucket budget) {
        return new ClaimSweeper(store, clock, budget);
    }

    /** Looks at the next page of claims; returns how many were deleted. */
    public int sweepPage() {
        Result<List<StoredObject>, StoreFailure> page = store.list(ClaimObjects.PREFIX, after, PAGE);
        if (!page.isOk()) {
            return 0;
        }
        int deleted = 0;
        for (StoredObject object : page.value()) {
            if (isExpired(object)) {
                if (budget.take(1).isPresent()) {
                    return deleted;
                }
                store.delete(object.key(), object.version());
                deleted++;
            }
            after = object.key().path();
        }
        if (page.value().size() < PAGE) {
            after = "";
        }
        return deleted;
    }

    private boolean isExpired(StoredObject object) {
        Result<Claim, String> claim = ClaimObjects.decode(object.value());
        if (!claim.isOk()) {
            return false;
        }
        Duration age = Duration.between(claim.value().claimedAt(), clock.now());
        Duration kept = claim.value().state() == ClaimState.CLAIMED ? STUCK_RETENTION : OUTCOME_RETENTION;
        return age.compareTo(kept) > 0;
    }
}
