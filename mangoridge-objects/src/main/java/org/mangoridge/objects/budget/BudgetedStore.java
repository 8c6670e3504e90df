package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WriteOutcome;

/** A store whose calls count against the share of one purpose; calls beyond it are not made. */
public final class BudgetedStore implements ObjectStore {

    private final ObjectStore store;
    private final CallBudget budget;
    private final CallPurpose purpose;
    private final Clock clock;

    private BudgetedStore(ObjectStore store, CallBudget budget, CallPurpose purpose, Clock clock) {
        this.store = store;
        this.budget = budget;
        this.purpose = purpose;
        this.clock = clock;
    }

    /** Returns {@code store} as it may be used for {@code purpose}. */
    public static BudgetedStore of(ObjectStore store, CallBudget budget, CallPurpose purpose, Clock clock) {
        return new BudgetedStore(store, budget, purpose, clock);
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        return taken() ? store.read(key) : Result.err(spent());
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        return taken() ? store.list(prefix, after, limit) : Result.err(spent());
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        return taken() ? store.write(key, value, condition) : new WriteOutcome.NotWritten(spent().detail());
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        return taken() ? store.delete(key, version) : new WriteOutcome.NotWritten(spent().detail());
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        return taken() ? store.watch(prefix, revision, wait) : Result.err(spent());
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        return taken() ? store.instances() : Result.err(spent());
    }

    private boolean taken() {
        return budget.tryAcquire(purpose, clock.elapsed());
    }

    private StoreFailure spent() {
        return new StoreFailure("the budget of calls for " + purpose + " is used up");
    }
}
