package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** Bounds the rate of an instance's calls to the platform, by purpose; safe for use by several threads. */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<CallPurpose, Share> shares = new EnumMap<>(CallPurpose.class);

    private CallBudget(Duration now) {
        for (CallPurpose purpose : CallPurpose.values()) {
            shares.put(purpose, new Share(purpose, now));
        }
    }

    /** Returns a budget that is whole at {@code now}, a time since an arbitrary origin. */
    public static CallBudget create(Duration now) {
        return new CallBudget(now);
    }

    /** Takes one call for {@code purpose}; returns false if the share is used up. */
    public synchronized boolean tryAcquire(CallPurpose purpose, Duration now) {
        return shares.get(purpose).take(now);
    }

    private static final class Share {

        private final CallPurpose purpose;
        private double left;
        private Duration last;

        private Share(CallPurpose purpose, Duration now) {
            this.purpose = purpose;
            this.left = purpose.burst();
            this.last = now;
        }

        private boolean take(Duration now) {
            double seconds = Math.max(0, now.minus(last).toNanos() / NANOS_PER_SECOND);
            left = Math.min(purpose.burst(), left + seconds * purpose.callsPerSecond());
            last = now;
            if (left < 1) {
                return false;
            }
            left--;
            return true;
        }
    }
}
