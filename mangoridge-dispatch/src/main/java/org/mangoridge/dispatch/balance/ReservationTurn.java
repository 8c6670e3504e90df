package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * Decides when a reservation may be requested for a model request; confined to one thread.
 *
 * <p>Requests take turns at the {@linkplain ReservationPace pace} of their service, in the order of their queue. One that
 * has waited for half of the time that it had left is asked for out of turn, so that it is refused only after servers
 * rejected it shortly before its deadline.
 */
public final class ReservationTurn {

    /** Turns within a latency target at the slowest pace, so that room that becomes free is found in time. */
    private static final int MIN_TURNS_WITHIN_TARGET = 16;

    private final ReservationPace pace;
    private final QueueDeadlines deadlines;
    private Duration lastRequest;

    private ReservationTurn(ReservationPace pace, QueueDeadlines deadlines) {
        this.pace = pace;
        this.deadlines = deadlines;
        this.lastRequest = deadlines.arrived();
    }

    /** Creates the turn of a request that has just arrived. */
    public static ReservationTurn of(ReservationPace pace, QueueDeadlines deadlines) {
        return new ReservationTurn(pace, deadlines);
    }

    /** Tells whether a reservation may be requested now. */
    public boolean isDue(Duration now) {
        Duration target = deadlines.onTimeUntil().minus(deadlines.arrived());
        return pace.permits(target.dividedBy(MIN_TURNS_WITHIN_TARGET), now) || now.compareTo(latest(now)) >= 0;
    }

    /** Returns when half of the time has passed that was left at the last request. */
    private Duration latest(Duration now) {
        Duration end = now.compareTo(deadlines.onTimeUntil()) < 0 ? deadlines.onTimeUntil() : deadlines.giveUpAt();
        return lastRequest.plus(end.minus(lastRequest).dividedBy(2));
    }

    /** Records that a reservation is requested now. */
    public void recordRequest(Duration now) {
        lastRequest = now;
        pace.recordRequest(now);
    }

    /** Records that a server granted a reservation. */
    public void recordGrant() {
        pace.recordGrant();
    }

    /** Records that a server rejected a reservation for lack of capacity. */
    public void recordRejection() {
        pace.recordRejection();
    }
}
