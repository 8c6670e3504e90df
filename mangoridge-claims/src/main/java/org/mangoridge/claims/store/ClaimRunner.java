package org.mangoridge.claims.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimAction;
import org.mangoridge.claims.protocol.ClaimEvent;
import org.mangoridge.claims.protocol.ClaimMachine;
import org.mangoridge.claims.protocol.ClaimResult;
import org.mangoridge.claims.protocol.StoredClaim;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * Runs {@link ClaimMachine}s against the platform's store.
 *
 * <p>Writes that remain after the reply to the caller continue in the background, for a bounded number of attempts at
 * once. Beyond that number a claim stays as it is, for an operator to settle. Safe for use by several threads.
 */
public final class ClaimRunner implements AutoCloseable {

    private static final int MAX_BACKGROUND_ATTEMPTS = 1000;
    private static final Duration INITIAL_BACK_OFF = Duration.ofMillis(200);
    private static final Duration MAX_BACK_OFF = Duration.ofSeconds(10);

    private final ObjectStore store;
    private final Clock clock;
    private final ExecutorService background = Executors.newVirtualThreadPerTaskExecutor();
    private final Semaphore backgroundPermits = new Semaphore(MAX_BACKGROUND_ATTEMPTS);

    private ClaimRunner(ObjectStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Returns a runner over {@code store}. */
    public static ClaimRunner create(ObjectStore store, Clock clock) {
        return new ClaimRunner(store, clock);
    }

    /**
     * Makes one attempt; blocks until its result is known.
     *
     * @param claim the claim of the attempt
     * @param dispatch sends the call; called at most once, and only while the claim is held; returns {@link
     *     ClaimEvent.Answered} or {@link ClaimEvent.Stopped}
     */
    public ClaimResult run(Claim claim, Supplier<ClaimEvent> dispatch) {
        ObjectKey key = ClaimObjects.key(claim.service(), claim.caller(), claim.key());
        ClaimMachine machine = ClaimMachine.of(claim);
        ClaimAction action = machine.begin();
        while (!(action instanceof ClaimAction.Reply)) {
            action = machine.on(perform(key, action, dispatch), clock.now());
        }
        ClaimAction next = machine.on(new ClaimEvent.Replied(), clock.now());
        if (!(next instanceof ClaimAction.Done)) {
            finishInBackground(claim, key, machine, next);
        }
        return ((ClaimAction.Reply) action).result();
    }

    /** Abandons the writes that still run in the background. */
    @Override
    public void close() {
        background.shutdownNow();
    }

    private void finishInBackground(Claim claim, ObjectKey key, ClaimMachine machine, ClaimAction next) {
        if (!backgroundPermits.tryAcquire()) {
            logUnfinished(claim);
            return;
        }
        CompletableFuture.runAsync(
                () -> {
                    try {
                        finish(claim, key, machine, next);
                    } finally {
                        backgroundPermits.release();
                    }
                },
                background);
    }

    private void finish(Claim claim, ObjectKey key, ClaimMachine machine, ClaimAction next) {
        ClaimAction action = next;
        while (!(action instanceof ClaimAction.Done)) {
            if (Thread.currentThread().isInterrupted()) {
                logUnfinished(claim);
                return;
            }
            action = machine.on(perform(key, action, ClaimRunner::neverDispatched), clock.now());
        }
        if (!((ClaimAction.Done) action).complete()) {
            logUnfinished(claim);
        }
    }

    private static ClaimEvent neverDispatched() {
        throw new IllegalStateException("a call must not be dispatched after the reply to its caller");
    }

    private static void logUnfinished(Claim claim) {
        EventLog.write(
                LogEvent.CLAIM_UNFINISHED,
                Field.of("service", claim.service()),
                Field.of("caller", claim.caller()),
                Field.of("attempt", claim.attempt()));
    }

    private ClaimEvent perform(ObjectKey key, ClaimAction action, Supplier<ClaimEvent> dispatch) {
        return switch (action) {
            case ClaimAction.Write write -> write(key, write);
            case ClaimAction.Read read -> read(key);
            case ClaimAction.Dispatch send -> dispatch.get();
            case ClaimAction.BackOff backOff -> backOff(backOff.failures());
            case ClaimAction.Reply reply -> new ClaimEvent.Replied();
            case ClaimAction.Done done -> throw new IllegalStateException("no action follows Done");
        };
    }

    private ClaimEvent write(ObjectKey key, ClaimAction.Write write) {
        Precondition condition =
                write.expected() == 0 ? Precondition.absent() : Precondition.atVersion(write.expected());
        return switch (store.write(key, ClaimObjects.encode(write.value()), condition)) {
            case WriteOutcome.Written written -> new ClaimEvent.Written(written.version());
            case WriteOutcome.Conflict conflict -> new ClaimEvent.Conflict();
            case WriteOutcome.NotWritten notWritten -> new ClaimEvent.NotWritten();
            case WriteOutcome.Unknown unknown -> new ClaimEvent.Unknown();
        };
    }

    private ClaimEvent read(ObjectKey key) {
        return switch (store.read(key)) {
            case Result.Err<Optional<StoredObject>, StoreFailure> err -> new ClaimEvent.ReadFailed();
            case Result.Ok<Optional<StoredObject>, StoreFailure> ok
            when ok.value().isEmpty() -> new ClaimEvent.Read(Optional.empty());
            case Result.Ok<Optional<StoredObject>, StoreFailure> ok ->
                decode(ok.value().get());
        };
    }

    private static ClaimEvent decode(StoredObject object) {
        Result<Claim, String> claim = ClaimObjects.decode(object.value());
        return claim.isOk()
                ? new ClaimEvent.Read(Optional.of(new StoredClaim(object.version(), claim.value())))
                : new ClaimEvent.ReadFailed();
    }

    private static ClaimEvent backOff(int failures) {
        Duration wait = INITIAL_BACK_OFF.multipliedBy(1L << Math.min(failures - 1, 10));
        try {
            Thread.sleep(wait.compareTo(MAX_BACK_OFF) < 0 ? wait : MAX_BACK_OFF);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new ClaimEvent.BackOffElapsed();
    }
}
