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

/** Counts the calls to a store against the budget of one purpose; calls beyond the budget fail without being made. */
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

    /** Wraps {@code store} so that its calls count against the budget of {@code purpose}. */
    public static BudgetedStore of(ObjectStore store, CallBudget budget, CallPurpose purpose, Clock clock) {
        return new BudgetedStore(store, budget, purpose, clock);
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        return acquired() ? store.read(key) : Result.err(budgetExhausted());
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        return acquired() ? store.list(prefix, after, limit) : Result.err(budgetExhausted());
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        return acquired()
                ? store.write(key, value, condition)
                : new WriteOutcome.NotWritten(budgetExhausted().detail());
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        return acquired()
                ? store.delete(key, version)
                : new WriteOutcome.NotWritten(budgetExhausted().detail());
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        return acquired() ? store.watch(prefix, revision, wait) : Result.err(budgetExhausted());
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        return acquired() ? store.instances() : Result.err(budgetExhausted());
    }

    private boolean acquired() {
        return budget.tryAcquire(purpose, clock.elapsed());
    }

    private StoreFailure budgetExhausted() {
        return new StoreFailure("the call budget for " + purpose + " is exhausted");
    }
}
