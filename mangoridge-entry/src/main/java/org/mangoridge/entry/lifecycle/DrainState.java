package org.mangoridge.entry.lifecycle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.mangoridge.core.Checks;

/** The phases of a shutdown as a state machine used by one thread. */
public final class DrainState {

    private static final Duration QUIET = Duration.ofMillis(500);
    private static final Duration CUT_LIMIT = Duration.ofSeconds(3);
    private static final Duration FAREWELL_TIME = Duration.ofMillis(600);

    private final Duration wait;
    private final Duration limit;
    private final List<DrainAction> actions = new ArrayList<>();
    private DrainPhase phase = DrainPhase.SERVING;
    private Duration phaseSince = Duration.ZERO;
    private Duration deadline = Duration.ZERO;
    private Duration quietSince;
    private boolean cut;

    private DrainState(Duration wait, Duration limit) {
        this.wait = wait;
        this.limit = limit;
    }

    /**
     * Returns the state of an instance that serves.
     *
     * @param wait how long requests are still taken while the balancer notices
     * @param limit the longest time from the request of the shutdown until requests in progress are cut
     */
    public static DrainState create(Duration wait, Duration limit) {
        return new DrainState(Checks.notNull(wait, "wait"), Checks.notNull(limit, "limit"));
    }

    /** Returns the phase. */
    public DrainPhase phase() {
        return phase;
    }

    /** Tells whether requests in progress were, or may have been, cut. */
    public boolean isCut() {
        return cut;
    }

    /**
     * Takes an event and returns what to do, in order.
     *
     * @param now the monotonic time, never less than at the last call
     */
    public List<DrainAction> on(DrainEvent event, Duration now) {
        switch (event) {
            case DrainEvent.Requested requested -> begin(now);
            case DrainEvent.Hurried hurried -> {
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
            deadline = now.plus(limit);
            enter(DrainPhase.LEAVING, now);
            actions.add(DrainAction.TELL_DRAINING);
        }
    }

    private void tick(int open, Duration now) {
        if (open > 0) {
            quietSince = null;
        } else if (quietSince == null) {
            quietSince = now;
        }
        Duration inPhase = now.minus(phaseSince);
        switch (phase) {
            case LEAVING -> leave(inPhase, now);
            case REFUSING -> refuse(now);
            case CUTTING -> {
                if (isQuiet(now) || inPhase.compareTo(CUT_LIMIT) >= 0) {
                    farewell(now);
                }
            }
            case FAREWELL -> {
                if (inPhase.compareTo(FAREWELL_TIME) >= 0) {
                    enter(DrainPhase.ENDED, now);
                    actions.add(DrainAction.END);
                }
            }
            default -> {
                // time changes nothing while serving or after the end
            }
        }
    }

    private void leave(Duration inPhase, Duration now) {
        if (now.compareTo(deadline) >= 0 || inPhase.compareTo(wait) >= 0) {
            enter(DrainPhase.REFUSING, now);
            quietSince = null;
        }
    }

    private void refuse(Duration now) {
        if (isQuiet(now)) {
            farewell(now);
        } else if (now.compareTo(deadline) >= 0 && quietSince == null) {
            cut = true;
            enter(DrainPhase.CUTTING, now);
            actions.add(DrainAction.CUT_REQUESTS);
        }
    }

    private boolean isQuiet(Duration now) {
        return quietSince != null && now.minus(quietSince).compareTo(QUIET) >= 0;
    }

    private void farewell(Duration now) {
        enter(DrainPhase.FAREWELL, now);
        actions.add(DrainAction.TELL_STOPPED);
    }

    private void enter(DrainPhase next, Duration now) {
        phase = next;
        phaseSince = now;
    }
}
