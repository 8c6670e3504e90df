package org.mangoridge.entry.lifecycle;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.control.ControlLoop;

/** Runs a graceful shutdown on the control thread; its methods may be called by any thread. */
public final class Drain {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** The effects of a shutdown on the rest of the instance; called on the control thread, must not block. */
    public interface Effects {

        /** Announces to peers that the instance is draining. */
        void announceDraining();

        /** Cuts the requests in progress; each caller receives a verdict. */
        void cutRequests();

        /** Announces to peers that the instance has stopped. */
        void announceStopped();
    }

    private final ControlLoop control;
    private final Clock clock;
    private final DrainState state;
    private final IntSupplier openRequests;
    private final Effects effects;
    private final CompletableFuture<Boolean> ended = new CompletableFuture<>();
    private volatile DrainPhase phase = DrainPhase.SERVING;

    private Drain(ControlLoop control, Clock clock, DrainState state, IntSupplier openRequests, Effects effects) {
        this.control = control;
        this.clock = clock;
        this.state = state;
        this.openRequests = openRequests;
        this.effects = effects;
    }

    /**
     * Returns the shutdown of a serving instance; it begins on request.
     *
     * @param openRequests returns the number of requests whose answers are not completely sent
     */
    public static Drain create(
            ControlLoop control, Clock clock, DrainState state, IntSupplier openRequests, Effects effects) {
        Drain drain = new Drain(control, clock, state, openRequests, effects);
        control.every(TICK_INTERVAL, drain::tick);
        return drain;
    }

    /**
     * Begins the shutdown; further requests have no effect.
     *
     * @param by the operator or signal that requests it, for the log
     */
    public void request(String by) {
        EventLog.write(LogEvent.INSTANCE_DRAINING, Field.of("by", by));
        control.post(() -> apply(new DrainEvent.Requested()));
    }

    /**
     * Skips the rest of the drain time and cuts the requests in progress, which receive a verdict.
     *
     * @param by the operator or signal that requests it, for the log
     */
    public void force(String by) {
        EventLog.write(LogEvent.INSTANCE_DRAINING, Field.of("by", by), Field.of("at", "once"));
        control.post(() -> apply(new DrainEvent.Forced()));
    }

    /** Returns the current phase. */
    public DrainPhase phase() {
        return phase;
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        return openRequests.getAsInt();
    }

    /** Returns a future that completes when the process may exit; its value is false if requests were cut. */
    public CompletableFuture<Boolean> ended() {
        return ended.copy();
    }

    private void tick() {
        apply(new DrainEvent.Tick(openRequests.getAsInt()));
    }

    private void apply(DrainEvent event) {
        var actions = state.handle(event, clock.elapsed());
        phase = state.phase();
        for (DrainAction action : actions) {
            switch (action) {
                case ANNOUNCE_DRAINING -> effects.announceDraining();
                case CUT_REQUESTS -> effects.cutRequests();
                case ANNOUNCE_STOPPED -> effects.announceStopped();
                case END -> ended.complete(!state.hasCutRequests());
                default -> throw new IllegalStateException("unknown action " + action);
            }
        }
    }
}
