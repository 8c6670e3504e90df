package org.mangoridge.gateway.node;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Decides when an instance that was told to end does so; pure, used by one thread.
 *
 * <p>Callers come until the balancer has noticed and while they keep connections. So the instance first refuses what
 * comes, and ends only when, some time after that, nothing is in progress.
 */
final class ShutdownPlan {

    /** How long the balancer may take to stop sending new connections: two checks and their way. */
    static final Duration BALANCER_DELAY = Duration.ofMillis(3200);
    /** What is left of the grace time when the process ends by itself. */
    static final Duration GRACE_MARGIN = Duration.ofMillis(500);

    private final Duration grace;
    private boolean refusing;

    /** What is to be done now. */
    enum Step {
        /** Go on. */
        WAIT,
        /** Refuse every request from now on and close connections without one. */
        REFUSE,
        /** End. */
        END
    }

    private ShutdownPlan(Duration grace) {
        this.grace = grace;
    }

    /** Returns the plan of an instance that is killed {@code grace} after it was told to end. */
    static ShutdownPlan of(Duration grace) {
        return new ShutdownPlan(Checks.notNull(grace, "grace"));
    }

    /**
     * Returns what is to be done.
     *
     * @param since how long ago the instance was told to end
     * @param inProgress requests in progress
     */
    Step next(Duration since, long inProgress) {
        if (since.compareTo(grace.minus(GRACE_MARGIN)) > 0) {
            return Step.END;
        }
        if (since.compareTo(BALANCER_DELAY) <= 0 || inProgress > 0) {
            return Step.WAIT;
        }
        if (!refusing) {
            refusing = true;
            return Step.REFUSE;
        }
        return Step.END;
    }
}
