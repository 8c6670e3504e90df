package org.mangoridge.gateway.stage;

import java.time.Duration;
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
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.orders.lease.LeaseAction;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseMachine;
import org.mangoridge.orders.lease.LeaseTerms;
import org.mangoridge.orders.lease.Tenure;

/** Carries out what the lease and the keeper of stages decide; used on the event loop. */
public final class StageController {

    /** Drift of monotonic clocks that is allowed for, in thousandths. */
    private static final int DRIFT_PER_MILLE = 5;
    /** A lease lasts this many times as long as two holders must keep apart. */
    private static final int LEASE_FACTOR = 3;

    private final Clock clock;
    private final EventSink log;
    private final LoadTracker loads;
    private final StageOrderSender orders;
    private final LeaseStore store;
    private final LeaseMachine lease;
    private final StageOrderScheduler keeper;
    private Optional<Tenure> told = Optional.empty();

    private StageController(
            InstanceId self,
            Duration holdersApart,
            Clock clock,
            EventSink log,
            LoadTracker loads,
            StageOrderSender orders,
            LeaseStore store) {
        this.clock = clock;
        this.log = log;
        this.loads = loads;
        this.orders = orders;
        this.store = store;
        Duration duration = holdersApart.multipliedBy(LEASE_FACTOR);
        LeaseTerms terms = new LeaseTerms(
                duration, holdersApart, holdersApart, holdersApart.plus(holdersApart.dividedBy(2)), DRIFT_PER_MILLE);
        Owner owner = new Owner(self, Incarnation.of(clock.now().toEpochMilli()));
        this.lease = LeaseMachine.create(owner, terms);
        this.keeper = StageOrderScheduler.create(self, holdersApart.plus(holdersApart.dividedBy(4)));
    }

    /**
     * Returns a shell that holds no lease.
     *
     * @param holdersApart how far apart orders of two holders to one server must be
     */
    public static StageController create(
            InstanceId self,
            Duration holdersApart,
            Clock clock,
            EventSink log,
            LoadTracker loads,
            StageOrderSender orders,
            LeaseStore store) {
        return new StageController(self, holdersApart, clock, log, loads, orders, store);
    }

    /**
     * Looks whether an order is due; called a few times a second.
     *
     * @param servers gives the servers of the model service
     * @param candidate whether this instance is the one to take the lease
     */
    public void tick(Supplier<List<ServerEntry>> servers, boolean candidate) {
        Duration now = clock.elapsed();
        List<ServerEntry> known = servers.get();
        boolean held = lease.tenure(now).isPresent();
        if (!held && !candidate) {
            tellTenure(now);
            return;
        }
        if (keeper.wantsOrder(known, this::load, now)) {
            lease.on(new LeaseEvent.Tick(candidate), now).ifPresent(this::perform);
        }
        tellTenure(now);
        keeper.nextOrder(known, this::load, lease.tenure(now), now).ifPresent(this::give);
    }

    private long load(ServerEntry server) {
        return loads.total(server.id()).kvTokens();
    }

    private void perform(LeaseAction action) {
        switch (action) {
            case LeaseAction.ReadLease read ->
                store.read(answer -> react(
                        switch (answer) {
                            case Result.Ok<Optional<LeaseEvent.StoredLease>, String> found ->
                                new LeaseEvent.LeaseRead(found.value());
                            case Result.Err<Optional<LeaseEvent.StoredLease>, String> failure ->
                                new LeaseEvent.ReadFailed();
                        }));
            case LeaseAction.WriteLease write ->
                store.write(write.record(), write.condition(), outcome -> react(new LeaseEvent.WriteSettled(outcome)));
        }
    }

    private void react(LeaseEvent event) {
        lease.on(event, clock.elapsed()).ifPresent(this::perform);
        tellTenure(clock.elapsed());
    }

    private void tellTenure(Duration now) {
        Optional<Tenure> held = lease.tenure(now);
        if (held.isPresent() && told.isEmpty()) {
            log.log(LogEvent.LEASE_TAKEN, Field.of("fencing", held.get().fencing()));
        } else if (held.isEmpty() && told.isPresent()) {
            log.log(LogEvent.LEASE_LOST, Field.of("fencing", told.get().fencing()));
        }
        told = held;
    }

    private void give(StageOrder order) {
        orders.send(order, outcome -> {
            log.log(
                    LogEvent.ORDER_GIVEN,
                    Field.of("server", order.server().id()),
                    Field.of("stage", order.stage()),
                    Field.of("fencing", order.fencing()),
                    Field.of("outcome", outcome));
            keeper.recordOutcome(order, outcome, clock.elapsed());
            if (outcome == StageOrderOutcome.OLD_FENCING) {
                // The server does not say which token it has seen, only that it is greater.
                react(new LeaseEvent.FencingSeen(order.fencing().value() + 1));
            }
        });
    }

    /** Gives the lease back, as the instance ends. */
    public void releaseLease() {
        lease.on(new LeaseEvent.GiveBack(), clock.elapsed()).ifPresent(this::perform);
    }
}
