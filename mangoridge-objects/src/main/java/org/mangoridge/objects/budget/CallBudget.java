package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** Limits the rate of an instance's calls to the platform with one token bucket for each purpose. Thread-safe. */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<CallPurpose, TokenBucket> buckets = new EnumMap<>(CallPurpose.class);

    private CallBudget(Duration now) {
        for (CallPurpose purpose : CallPurpose.values()) {
            buckets.put(purpose, new TokenBucket(purpose, now));
        }
    }

    /** Creates a budget whose buckets are full at {@code now}, the time elapsed since an arbitrary origin. */
    public static CallBudget create(Duration now) {
        return new CallBudget(now);
    }

    /** Takes a token for one call for {@code purpose}; returns false if its bucket is empty. */
    public synchronized boolean tryAcquire(CallPurpose purpose, Duration now) {
        return buckets.get(purpose).tryAcquire(now);
    }

    private static final class TokenBucket {

        private final CallPurpose purpose;
        private double tokens;
        private Duration refilledAt;

        private TokenBucket(CallPurpose purpose, Duration now) {
            this.purpose = purpose;
            this.tokens = purpose.burst();
            this.refilledAt = now;
        }

        private boolean tryAcquire(Duration now) {
            double seconds = Math.max(0, now.minus(refilledAt).toNanos() / NANOS_PER_SECOND);
            tokens = Math.min(purpose.burst(), tokens + seconds * purpose.callsPerSecond());
            refilledAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }
}
