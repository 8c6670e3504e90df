package org.mangoridge.entry.lifecycle;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.control.ControlLoop;

/** Runs a shutdown on the control thread; any thread may ask for it and for its phase. */
public final class Drain {

    private static final Duration TICK = Duration.ofMillis(50);

    /** What a shutdown does to the rest of the instance; called on the control thread and must not block. */
    public interface Effects {

        /** Tells peers that the instance drains. */
        void tellDraining();

        /** Ends the requests in progress with a verdict each. */
        void cutRequests();

        /** Tells peers that the instance stops. */
        void tellStopped();
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
     * Returns the shutdown of an instance that serves.
     *
     * @param openRequests counts the requests whose answers are not yet sent whole
     */
    public static Drain create(
            ControlLoop control, Clock clock, DrainState state, IntSupplier openRequests, Effects effects) {
        Drain drain = new Drain(control, clock, state, openRequests, effects);
        control.every(TICK, drain::tick);
        return drain;
    }

    /** Begins the shutdown; asking again changes nothing. */
    public void request(String by) {
        EventLog.write(LogEvent.INSTANCE_DRAINING, Field.of("by", by));
        control.post(() -> apply(new DrainEvent.Requested()));
    }

    /** Ends the shutdown at once; requests in progress get a verdict. */
    public void hurry(String by) {
        EventLog.write(LogEvent.INSTANCE_DRAINING, Field.of("by", by), Field.of("at", "once"));
        control.post(() -> apply(new DrainEvent.Hurried()));
    }

    /** Returns the phase. */
    public DrainPhase phase() {
        return phase;
    }

    /** Returns how many requests are in progress. */
    public int openRequests() {
        return openRequests.getAsInt();
    }

    /** Completes when the process may end, with whether every request in progress finished. */
    public CompletableFuture<Boolean> ended() {
        return ended.copy();
    }

    private void tick() {
        apply(new DrainEvent.Tick(openRequests.getAsInt()));
    }

    private void apply(DrainEvent event) {
        var actions = state.on(event, clock.elapsed());
        phase = state.phase();
        for (DrainAction action : actions) {
            switch (action) {
                case TELL_DRAINING -> effects.tellDraining();
                case CUT_REQUESTS -> effects.cutRequests();
                case TELL_STOPPED -> effects.tellStopped();
                case END -> ended.complete(!state.isCut());
                default -> throw new IllegalStateException("unknown action " + action);
            }
        }
    }
}
