package org.mangoridge.gateway.stage;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.follow.StoreEra;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.orders.lease.LeaseAction;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseMachine;
import org.mangoridge.orders.lease.LeaseTiming;
import org.mangoridge.orders.lease.Tenure;

/** Runs the lease and the stage order scheduler: performs their I/O and logs; used on the event loop. */
public final class StageController {

    /** Tolerated drift between monotonic clocks, in thousandths. */
    private static final int DRIFT_PER_MILLE = 5;
    /** Lease duration as a multiple of the minimum separation between the orders of two holders. */
    private static final int LEASE_FACTOR = 3;

    /** Time of day that passes beyond monotonic time when a process is suspended; smaller differences are drift. */
    private static final Duration MIN_SUSPENSION = Duration.ofMillis(500);

    private final Clock clock;
    private final EventSink log;
    private final LoadTracker loads;
    private final StageOrderSender sender;
    private final LeaseStore store;
    private final StoreEra era;
    private final LeaseMachine lease;
    private final StageOrderScheduler scheduler;
    private Optional<Tenure> loggedTenure = Optional.empty();
    private Instant lastNow;
    private Duration lastElapsed;

    private StageController(
            InstanceId self,
            Duration holderSeparation,
            Clock clock,
            EventSink log,
            LoadTracker loads,
            StageOrderSender sender,
            LeaseStore store,
            StoreEra era) {
        this.clock = clock;
        this.log = log;
        this.loads = loads;
        this.sender = sender;
        this.store = store;
        this.era = era;
        Duration duration = holderSeparation.multipliedBy(LEASE_FACTOR);
        LeaseTiming terms = new LeaseTiming(
                duration,
                holderSeparation,
                holderSeparation,
                holderSeparation.plus(holderSeparation.dividedBy(2)),
                DRIFT_PER_MILLE);
        Owner owner = new Owner(self, Incarnation.of(clock.now().toEpochMilli()));
        this.lease = LeaseMachine.create(owner, terms);
        this.scheduler = StageOrderScheduler.create(self, holderSeparation.plus(holderSeparation.dividedBy(4)));
    }

    /**
     * Creates a controller that does not hold the lease.
     *
     * @param holderSeparation the minimum time between orders of two lease holders to one server
     */
    public static StageController create(
            InstanceId self,
            Duration holderSeparation,
            Clock clock,
            EventSink log,
            LoadTracker loads,
            StageOrderSender sender,
            LeaseStore store,
            StoreEra era) {
        return new StageController(self, holderSeparation, clock, log, loads, sender, store, era);
    }

    /**
     * Acquires or renews the lease and sends an order if one is due; called a few times a second.
     *
     * @param servers supplies the servers of the model service
     * @param candidate whether this instance should acquire the lease if it is free
     */
    public void tick(Supplier<List<ServerEntry>> servers, boolean candidate) {
        giveUpIfSuspended();
        Duration now = clock.elapsed();
        List<ServerEntry> known = servers.get();
        boolean held = lease.tenure(now).isPresent();
        if (!held && !candidate) {
            logTenureChange(now);
            return;
        }
        if (scheduler.needsOrder(known, this::load, now)) {
            lease.on(new LeaseEvent.Tick(candidate), now).ifPresent(this::perform);
        }
        logTenureChange(now);
        scheduler.nextOrder(known, this::load, lease.tenure(now), now).ifPresent(this::send);
    }

    /** Gives up the lease, which the store may have lost when it was restored. */
    public void storeRestored() {
        handle(new LeaseEvent.Invalidated());
    }

    private long load(ServerEntry server) {
        return loads.total(server.id()).kvTokens();
    }

    private void perform(LeaseAction action) {
        switch (action) {
            case LeaseAction.ReadLease read ->
                store.read(answer -> handle(
                        switch (answer) {
                            case Result.Ok<Optional<LeaseEvent.StoredLease>, String> found ->
                                new LeaseEvent.LeaseRead(found.value(), era.current());
                            case Result.Err<Optional<LeaseEvent.StoredLease>, String> failure ->
                                new LeaseEvent.ReadFailed();
                        }));
            case LeaseAction.WriteLease write ->
                store.write(
                        write.record(), write.condition(), outcome -> handle(new LeaseEvent.WriteFinished(outcome)));
        }
    }

    /**
     * Gives up the lease if the process was suspended. The monotonic clock does not count that time, so that the lease
     * can have run out without a sign of it; a step of the time of day looks the same and gives it up for nothing.
     */
    private void giveUpIfSuspended() {
        Instant now = clock.now();
        Duration elapsed = clock.elapsed();
        if (lastNow != null) {
            Duration uncounted = Duration.between(lastNow, now).minus(elapsed.minus(lastElapsed));
            if (uncounted.compareTo(MIN_SUSPENSION) > 0) {
                lease.on(new LeaseEvent.Invalidated(), elapsed);
            }
        }
        lastNow = now;
        lastElapsed = elapsed;
    }

    private boolean isHeldFor(StageOrder order) {
        giveUpIfSuspended();
        return lease.tenure(clock.elapsed())
                .filter(tenure -> tenure.fencing().equals(order.fencing()))
                .isPresent();
    }

    private void handle(LeaseEvent event) {
        giveUpIfSuspended();
        lease.on(event, clock.elapsed()).ifPresent(this::perform);
        logTenureChange(clock.elapsed());
    }

    private void logTenureChange(Duration now) {
        Optional<Tenure> held = lease.tenure(now);
        if (held.isPresent() && loggedTenure.isEmpty()) {
            log.log(LogEvent.LEASE_TAKEN, Field.of("fencing", held.get().fencing()));
        } else if (held.isEmpty() && loggedTenure.isPresent()) {
            log.log(LogEvent.LEASE_LOST, Field.of("fencing", loggedTenure.get().fencing()));
        }
        loggedTenure = held;
    }

    private void send(StageOrder order) {
        sender.send(order, () -> isHeldFor(order), outcome -> {
            log.log(
                    LogEvent.ORDER_GIVEN,
                    Field.of("server", order.server().id()),
                    Field.of("stage", order.stage()),
                    Field.of("fencing", order.fencing()),
                    Field.of("outcome", outcome));
            scheduler.recordOutcome(order, outcome, clock.elapsed());
            if (outcome == StageOrderOutcome.OLD_FENCING) {
                // The answer does not contain the token that the server has seen; it is at least the next one.
                handle(new LeaseEvent.FencingSeen(order.fencing().value() + 1));
            }
        });
    }

    /** Releases the lease, if held, when the instance shuts down. */
    public void releaseLease() {
        lease.on(new LeaseEvent.Release(), clock.elapsed()).ifPresent(this::perform);
    }
}
