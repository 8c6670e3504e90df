package org.mangoridge.gateway.node;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Decides when a draining instance stops. Does no I/O; not thread-safe.
 *
 * <p>Requests keep arriving until the load balancer has noticed that the instance is not ready, and on kept connections
 * after that. So the instance first refuses new requests, and stops when no response is left to send at a later step.
 * Requests whose responses have not begun shortly before the end of the grace period are answered by the instance itself;
 * responses that have begun go on until it stops, since they can only be cut.
 */
final class ShutdownPlan {

    /** Time after which the load balancer sends no new connections: two health checks and their transit time. */
    static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(3200);
    /** Time before the end of the grace period at which the process stops, whatever is in progress. */
    static final Duration GRACE_MARGIN = Duration.ofMillis(500);
    /** Time before the process stops at which requests in progress are answered, so that the answers can be sent. */
    static final Duration ANSWER_TIME = Duration.ofMillis(200);

    private final Duration grace;
    private boolean refusing;
    private boolean requestsEnded;

    /** The next action of the shutdown. */
    enum Step {
        /** Keep serving. */
        WAIT,
        /** Refuse every new request and close idle connections. */
        REFUSE,
        /** Refuse every new request and answer those whose responses have not begun. */
        END_REQUESTS,
        /** End everything that is still in progress and stop the process. */
        END
    }

    private ShutdownPlan(Duration grace) {
        this.grace = grace;
    }

    /** Returns the plan of an instance that is killed {@code grace} after the shutdown signal. */
    static ShutdownPlan of(Duration grace) {
        return new ShutdownPlan(Checks.notNull(grace, "grace"));
    }

    /** Returns the time since the shutdown signal at which requests are answered whose responses have not begun. */
    Duration endOfRequests() {
        return endOfResponses().minus(ANSWER_TIME);
    }

    /** Returns the time since the shutdown signal at which the process stops, whatever is in progress. */
    Duration endOfResponses() {
        return grace.minus(GRACE_MARGIN);
    }

    /** Returns whether the load balancer sends new connections elsewhere by now. */
    boolean balancerHasNoticed(Duration since) {
        return since.compareTo(LOAD_BALANCER_DELAY) > 0;
    }

    /**
     * Returns the next action.
     *
     * @param since time since the shutdown signal
     * @param unsent number of responses that are in progress or were not sent entirely
     * @param beingRead number of requests that have been read in part
     */
    Step next(Duration since, long unsent, long beingRead) {
        if (since.compareTo(endOfResponses()) > 0) {
            return Step.END;
        }
        if (!requestsEnded && since.compareTo(endOfRequests()) > 0) {
            requestsEnded = true;
            return Step.END_REQUESTS;
        }
        if (requestsEnded) {
            return unsent == 0 ? Step.END : Step.WAIT;
        }
        if (!balancerHasNoticed(since) || unsent > 0 || beingRead > 0) {
            return Step.WAIT;
        }
        if (!refusing) {
            refusing = true;
            return Step.REFUSE;
        }
        return Step.END;
    }
}
