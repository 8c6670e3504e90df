package org.mangoridge.entry.lifecycle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.mangoridge.core.Checks;

/** The state machine of a graceful shutdown; not safe for use by several threads. */
public final class DrainState {

    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(500); // without requests, before the end
    private static final Duration CUT_TIMEOUT = Duration.ofSeconds(3); // for cut requests to end
    private static final Duration STOP_ANNOUNCEMENT_TIME = Duration.ofMillis(600); // for gossip before the exit

    private final Duration readinessDelay;
    private final Duration drainLimit;
    private final List<DrainAction> actions = new ArrayList<>();
    private DrainPhase phase = DrainPhase.SERVING;
    private Duration phaseSince = Duration.ZERO;
    private Duration deadline = Duration.ZERO;
    private Duration idleSince;
    private boolean cut;

    private DrainState(Duration readinessDelay, Duration drainLimit) {
        this.readinessDelay = readinessDelay;
        this.drainLimit = drainLimit;
    }

    /**
     * Returns the state of a serving instance.
     *
     * @param readinessDelay how long requests are accepted after readiness checks begin to fail, so that the load
     *     balancer can take the instance out
     * @param drainLimit the maximum time from the shutdown request until the requests in progress are cut
     */
    public static DrainState create(Duration readinessDelay, Duration drainLimit) {
        return new DrainState(
                Checks.notNull(readinessDelay, "readinessDelay"), Checks.notNull(drainLimit, "drainLimit"));
    }

    /** Returns the current phase. */
    public DrainPhase phase() {
        return phase;
    }

    /** Returns whether requests in progress were cut or may have been. */
    public boolean hasCutRequests() {
        return cut;
    }

    /**
     * Handles an event and returns the resulting actions in order.
     *
     * @param now the monotonic time, not earlier than at the previous call
     */
    public List<DrainAction> handle(DrainEvent event, Duration now) {
        switch (event) {
            case DrainEvent.Requested requested -> begin(now);
            case DrainEvent.Forced forced -> {
                begin(now);
                deadline = now;
            }
            case DrainEvent.Tick tick -> tick(tick.openRequests(), now);
        }
        List<DrainAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    private void begin(Duration now) {
        if (phase == DrainPhase.SERVING) {
            deadline = now.plus(drainLimit);
            enterPhase(DrainPhase.LEAVING, now);
            actions.add(DrainAction.ANNOUNCE_DRAINING);
        }
    }

    private void tick(int openRequests, Duration now) {
        if (openRequests > 0) {
            idleSince = null;
        } else if (idleSince == null) {
            idleSince = now;
        }
        Duration inPhase = now.minus(phaseSince);
        switch (phase) {
            case LEAVING -> tickLeaving(inPhase, now);
            case REFUSING -> tickRefusing(now);
            case CUTTING -> {
                if (isIdle(now) || inPhase.compareTo(CUT_TIMEOUT) >= 0) {
                    announceStop(now);
                }
            }
            case FAREWELL -> {
                if (inPhase.compareTo(STOP_ANNOUNCEMENT_TIME) >= 0) {
                    enterPhase(DrainPhase.ENDED, now);
                    actions.add(DrainAction.END);
                }
            }
            default -> {
                // a tick has no effect before and after the shutdown
            }
        }
    }

    private void tickLeaving(Duration inPhase, Duration now) {
        if (now.compareTo(deadline) >= 0 || inPhase.compareTo(readinessDelay) >= 0) {
            enterPhase(DrainPhase.REFUSING, now);
            idleSince = null;
        }
    }

    private void tickRefusing(Duration now) {
        if (isIdle(now)) {
            announceStop(now);
        } else if (now.compareTo(deadline) >= 0 && idleSince == null) {
            cut = true;
            enterPhase(DrainPhase.CUTTING, now);
            actions.add(DrainAction.CUT_REQUESTS);
        }
    }

    /** Returns whether no request has been in progress for {@link #MIN_IDLE_TIME}. */
    private boolean isIdle(Duration now) {
        return idleSince != null && now.minus(idleSince).compareTo(MIN_IDLE_TIME) >= 0;
    }

    private void announceStop(Duration now) {
        enterPhase(DrainPhase.FAREWELL, now);
        actions.add(DrainAction.ANNOUNCE_STOPPED);
    }

    private void enterPhase(DrainPhase next, Duration now) {
        phase = next;
        phaseSince = now;
    }
}
