package org.mangoridge.entry.peers;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.peer.membership.Liveness;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.orphan.OrphanEvent;
import org.mangoridge.peer.orphan.OrphanSweepScheduler;
import org.mangoridge.peer.orphan.SweepTarget;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.ServerRole;

/**
 * Releases at servers what instances that are gone still hold.
 *
 * <p>Decisions are made on the control thread, calls on virtual threads.
 */
public final class OrphanSweeper implements AutoCloseable {

    private final ControlLoop control;
    private final Clock clock;
    private final EngineDirectory engines;
    private final Supplier<Deployment> deployment;
    private final Supplier<PeerView> view;
    private final OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();

    private OrphanSweeper(
            ControlLoop control,
            Clock clock,
            EngineDirectory engines,
            Supplier<Deployment> deployment,
            Supplier<PeerView> view) {
        this.control = control;
        this.clock = clock;
        this.engines = engines;
        this.deployment = deployment;
        this.view = view;
    }

    /** Returns a sweeper of the servers of the deployment in force. */
    public static OrphanSweeper create(
            ControlLoop control,
            Clock clock,
            EngineDirectory engines,
            Supplier<Deployment> deployment,
            Supplier<PeerView> view) {
        return new OrphanSweeper(control, clock, engines, deployment, view);
    }

    /** Notes on the control thread that a run, and every earlier one of the same instance, is gone. */
    public void gone(Owner owner) {
        scheduler.on(new OrphanEvent.Gone(owner), clock.elapsed());
    }

    /** Notes on the control thread that a run lives. */
    public void joined(Owner owner) {
        scheduler.on(new OrphanEvent.Returned(owner), clock.elapsed());
    }

    /** Begins on the control thread the sweeps that are due. */
    public void tick() {
        List<SweepTarget> servers = deployment.get().servers().stream()
                .filter(server -> server.role() != ServerRole.PLAIN)
                .map(server -> new SweepTarget(server.id(), server.zone()))
                .toList();
        for (OrphanEvent.Sweep sweep : scheduler.on(new OrphanEvent.Tick(view.get(), servers), clock.elapsed())) {
            try {
                calls.execute(() -> run(sweep));
            } catch (RejectedExecutionException e) {
                // the instance is closing; its peers sweep
            }
        }
    }

    @Override
    public void close() {
        calls.shutdownNow();
    }

    private void run(OrphanEvent.Sweep sweep) {
        boolean complete = false;
        try {
            complete = sweep(sweep);
        } finally {
            boolean done = complete;
            control.post(() -> scheduler.on(new OrphanEvent.SweepEnded(sweep, done), clock.elapsed()));
        }
    }

    private boolean sweep(OrphanEvent.Sweep sweep) {
        Optional<Server> server = deployment.get().server(sweep.server());
        if (server.isEmpty()) {
            return true;
        }
        ModelEngine engine = engines.engineAt(server.get().address());
        Result<List<EngineMessages.HeldAttempt>, EngineError> held =
                engine.heldAttempts(sweep.upTo().instance());
        if (!held.isOk()) {
            failed(sweep, held.error());
            return false;
        }
        boolean complete = true;
        for (EngineMessages.HeldAttempt attempt : held.value()) {
            if (isOrphan(attempt, sweep.upTo())) {
                complete &= cancel(engine, sweep, attempt);
            }
        }
        return complete;
    }

    /** Looks at the view again, since an instance that was believed dead may have contradicted meanwhile. */
    private boolean isOrphan(EngineMessages.HeldAttempt attempt, Owner upTo) {
        Incarnation run = Incarnation.of(attempt.incarnation());
        if (run.isAfter(upTo.incarnation())
                || !attempt.instance().equals(upTo.instance().value())) {
            return false;
        }
        return view.get()
                .find(upTo.instance())
                .filter(record -> record.liveness() != Liveness.DEAD && record.isLive())
                .map(record -> record.member().incarnation().isAfter(run))
                .orElse(true);
    }

    private boolean cancel(ModelEngine engine, OrphanEvent.Sweep sweep, EngineMessages.HeldAttempt attempt) {
        Result<EngineMessages.CancelResponse, EngineError> released = engine.cancel(AttemptId.parse(attempt.attempt()));
        if (!released.isOk()) {
            failed(sweep, released.error());
            return false;
        }
        EventLog.write(
                LogEvent.ORPHAN_CANCELLED,
                Field.of("attempt", attempt.attempt()),
                Field.of("owner", attempt.instance() + "/" + attempt.incarnation()),
                Field.of("server", sweep.server()));
        return true;
    }

    private static void failed(OrphanEvent.Sweep sweep, EngineError error) {
        EventLog.write(
                LogEvent.ORPHAN_CANCEL_FAILED,
                Field.of("owner", sweep.upTo()),
                Field.of("server", sweep.server()),
                Field.of("detail", error.detail()));
    }
}
