package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * Paces the reservations that an instance requests for a service whose servers reject them; confined to one thread.
 *
 * <p>When the servers of a service are full, every instance sees room that another one takes first. Each finds the pace at
 * which it is its turn from the answers: a rejection doubles the time between its requests, and a grant takes back half of
 * the doublings.
 */
public final class ReservationPace {

    /** Rejections in a row that cost no time: another server is asked at once. */
    private static final int FREE_REJECTIONS = 1;
    /** Shortest time between two requests after more rejections; in less, no report of a peer tells anything new. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(15);
    /** Bound of the doublings; requests hold the interval shorter by what their callers bear. */
    private static final int MAX_DOUBLINGS = 6;

    private int rejections;
    private Duration lastRequest = Duration.ZERO;

    private ReservationPace() {}

    /** Creates the pace of a service that has not rejected anything. */
    public static ReservationPace create() {
        return new ReservationPace();
    }

    /** Records that a reservation is requested now. */
    public void recordRequest(Duration now) {
        lastRequest = now;
    }

    /** Records that a server granted a reservation. */
    public void recordGrant() {
        rejections /= 2;
    }

    /** Records that a server rejected a reservation for lack of capacity. */
    public void recordRejection() {
        rejections = Math.min(rejections + 1, FREE_REJECTIONS + 1 + MAX_DOUBLINGS);
    }

    /** Returns the time between two requests; zero if they are not held back. */
    public Duration interval() {
        return rejections <= FREE_REJECTIONS
                ? Duration.ZERO
                : MIN_INTERVAL.multipliedBy(1L << (rejections - FREE_REJECTIONS - 1));
    }

    /** Tells whether a reservation may be requested now, at an interval of at most {@code maxInterval}. */
    boolean permits(Duration maxInterval, Duration now) {
        Duration sinceRequest = now.minus(lastRequest);
        return sinceRequest.compareTo(interval()) >= 0 || sinceRequest.compareTo(maxInterval) >= 0;
    }
}
