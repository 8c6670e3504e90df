package org.mangoridge.dispatch.quota;

import java.time.Duration;

/**
 * What one peer has told of its use by one workspace, and what it is expected to have used since; not thread-safe.
 *
 * <p>A peer that is not heard is not idle: after {@link #SILENCE} it is expected to go on as it did before.
 */
final class PeerAccount {

    /** Time without a report after which a peer is silent; longer than the longest time between two of its reports. */
    static final Duration SILENCE = Duration.ofMillis(2500);
    /** Time over which the rate of a peer is averaged; a report takes a part of it to come. */
    private static final Duration RECENT_TIME = Duration.ofMillis(500);
    /** Time over which the rate is averaged that a silent peer is expected to go on with. */
    private static final Duration USUAL_TIME = Duration.ofSeconds(5);
    /** Longest part of an account's life that counts as use that nobody else has accounted for. */
    private static final Duration MAX_UNACCOUNTED = Duration.ofSeconds(2);
    /** Longest delay of a report by which its account is still known again; an account closes after a longer time without use. */
    private static final Duration MAX_REPORT_DELAY = WorkspaceAccount.IDLE_TIME.minusSeconds(2);

    private long asked;
    private long granted;
    /** When the peer opened its account; null before the first report. */
    private Duration openedAt;

    private Duration changedAt;
    private final DecayingRate recentlyAsked;
    private final DecayingRate usuallyAsked;
    private final DecayingRate recentlyGranted;
    private final DecayingRate usuallyGranted;
    /** What was charged as expected use since the last report. */
    private double expected;

    private PeerAccount(Duration now) {
        this.changedAt = now;
        this.recentlyAsked = new DecayingRate(RECENT_TIME, now);
        this.usuallyAsked = new DecayingRate(USUAL_TIME, now);
        this.recentlyGranted = new DecayingRate(RECENT_TIME, now);
        this.usuallyGranted = new DecayingRate(USUAL_TIME, now);
    }

    static PeerAccount open(Duration now) {
        return new PeerAccount(now);
    }

    /** Records a report; returns the units to charge beyond those that were expected, negative if too many were. */
    double record(WorkspaceUse use, Duration now) {
        Duration opened = now.minus(use.age());
        boolean continued = openedAt != null && use.asked() >= asked && isSameOpening(opened);
        double charge;
        if (continued) {
            charge = use.granted() - granted;
            recentlyAsked.add(use.asked() - asked, now);
            usuallyAsked.addSinceUpdate(use.asked() - asked, now);
            recentlyGranted.add(charge, now);
            usuallyGranted.addSinceUpdate(charge, now);
        } else {
            double seconds = Math.max(1, use.age().toNanos() / 1e9);
            double grantedPerSecond = use.granted() / seconds;
            recentlyAsked.reset(use.asked() / seconds, now);
            usuallyAsked.reset(use.asked() / seconds, now);
            recentlyGranted.reset(grantedPerSecond, now);
            usuallyGranted.reset(grantedPerSecond, now);
            charge = grantedPerSecond * Math.min(seconds, MAX_UNACCOUNTED.toSeconds());
            openedAt = opened;
        }
        if (!continued || use.asked() > asked) {
            changedAt = now;
        }
        double beyondExpected = charge - expected;
        asked = use.asked();
        granted = use.granted();
        expected = 0;
        return beyondExpected;
    }

    /** Tells whether an opening time is the known one, as far as the delay of reports allows to tell. */
    private boolean isSameOpening(Duration opened) {
        return opened.minus(openedAt).abs().compareTo(MAX_REPORT_DELAY) <= 0;
    }

    /** Returns the units to charge for what a silent peer is expected to have used since the last call. */
    double expect(Duration heardAt, Duration now) {
        double more = stillExpected(heardAt, now);
        expected += more;
        return more;
    }

    /** Returns what {@link #expect} would return, and charges nothing. */
    double stillExpected(Duration heardAt, Duration now) {
        if (!isSilent(heardAt, now)) {
            return 0;
        }
        double total = usuallyGranted.at(heardAt) * now.minus(heardAt).toNanos() / 1e9;
        return Math.max(0, total - expected);
    }

    double askedRate(Duration heardAt, Duration now) {
        return isSilent(heardAt, now) ? usuallyAsked.at(heardAt) : recentlyAsked.at(now);
    }

    double grantedRate(Duration heardAt, Duration now) {
        return isSilent(heardAt, now) ? usuallyGranted.at(heardAt) : recentlyGranted.at(now);
    }

    private static boolean isSilent(Duration heardAt, Duration now) {
        return now.minus(heardAt).compareTo(SILENCE) > 0;
    }

    Duration changedAt() {
        return changedAt;
    }
}
