package org.mangoridge.gateway.node;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Decides when a draining instance stops. Does no I/O; not thread-safe.
 *
 * <p>Requests keep arriving until the load balancer has noticed that the instance is not ready, and on kept connections
 * after that. So the instance first refuses new requests, and stops when no request is in progress at a later step.
 */
final class ShutdownPlan {

    /** Time after which the load balancer sends no new connections: two health checks and their transit time. */
    static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(3200);
    /** Time before the end of the grace period at which the process stops, whatever is in progress. */
    static final Duration GRACE_MARGIN = Duration.ofMillis(500);

    private final Duration grace;
    private boolean refusing;

    /** The next action of the shutdown. */
    enum Step {
        /** Keep serving. */
        WAIT,
        /** Refuse every new request and close idle connections. */
        REFUSE,
        /** Stop the process. */
        END
    }

    private ShutdownPlan(Duration grace) {
        this.grace = grace;
    }

    /** Returns the plan of an instance that is killed {@code grace} after the shutdown signal. */
    static ShutdownPlan of(Duration grace) {
        return new ShutdownPlan(Checks.notNull(grace, "grace"));
    }

    /**
     * Returns the next action.
     *
     * @param since time since the shutdown signal
     * @param inProgress number of requests in progress
     */
    Step next(Duration since, long inProgress) {
        if (since.compareTo(grace.minus(GRACE_MARGIN)) > 0) {
            return Step.END;
        }
        if (since.compareTo(LOAD_BALANCER_DELAY) <= 0 || inProgress > 0) {
            return Step.WAIT;
        }
        if (!refusing) {
            refusing = true;
            return Step.REFUSE;
        }
        return Step.END;
    }
}
