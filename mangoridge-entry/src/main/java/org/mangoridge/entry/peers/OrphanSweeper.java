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
 * Cancels the attempts that instances which are gone still hold at servers.
 *
 * <p>Sweeps are scheduled on the control thread and run on virtual threads.
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

    /**
     * Returns a sweeper.
     *
     * @param deployment returns the deployment in force, whose model servers are swept
     * @param view returns the current membership view
     */
    public static OrphanSweeper create(
            ControlLoop control,
            Clock clock,
            EngineDirectory engines,
            Supplier<Deployment> deployment,
            Supplier<PeerView> view) {
        return new OrphanSweeper(control, clock, engines, deployment, view);
    }

    /**
     * Records that {@code owner} and every earlier incarnation of the same instance are gone.
     *
     * <p>Must be called on the control thread.
     */
    public void peerGone(Owner owner) {
        scheduler.on(new OrphanEvent.Gone(owner), clock.elapsed());
    }

    /** Records that {@code owner} is alive; must be called on the control thread. */
    public void peerJoined(Owner owner) {
        scheduler.on(new OrphanEvent.Returned(owner), clock.elapsed());
    }

    /** Starts the sweeps that are due; must be called on the control thread. */
    public void tick() {
        List<SweepTarget> servers = deployment.get().servers().stream()
                .filter(server -> server.role() != ServerRole.PLAIN)
                .map(server -> new SweepTarget(server.id(), server.zone()))
                .toList();
        for (OrphanEvent.Sweep sweep : scheduler.on(new OrphanEvent.Tick(view.get(), servers), clock.elapsed())) {
            try {
                calls.execute(() -> run(sweep));
            } catch (RejectedExecutionException e) {
                // this instance is closing; its peers run the sweep
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
            logFailure(sweep, held.error());
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

    /** Checks the current membership view, because an instance considered dead may have refuted that since. */
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
        Result<EngineMessages.CancelResponse, EngineError> response = engine.cancel(AttemptId.parse(attempt.attempt()));
        if (!response.isOk()) {
            logFailure(sweep, response.error());
            return false;
        }
        EventLog.write(
                LogEvent.ORPHAN_CANCELLED,
                Field.of("attempt", attempt.attempt()),
                Field.of("owner", attempt.instance() + "/" + attempt.incarnation()),
                Field.of("server", sweep.server()));
        return true;
    }

    private static void logFailure(OrphanEvent.Sweep sweep, EngineError error) {
        EventLog.write(
                LogEvent.ORPHAN_CANCEL_FAILED,
                Field.of("owner", sweep.upTo()),
                Field.of("server", sweep.server()),
                Field.of("detail", error.detail()));
    }
}
