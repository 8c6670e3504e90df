package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;

/**
 * Limits retries for each service over a sliding window.
 *
 * <p>The limit applies to all instances together. Each instance uses only its own share without coordination, so the
 * limit also holds when instances cannot reach each other.
 */
public final class RetryBudget {

    /** Fraction of the fixed allowance that is split among the known instances; the rest covers unknown ones. */
    private static final double SPLIT_FRACTION = 0.8;

    private final double ratio;
    private final double fixedAllowance;
    private final Duration window;
    private final Map<ServiceId, Window> windows = new HashMap<>();

    private static final class Window {
        private final Deque<Duration> requests = new ArrayDeque<>();
        private final Deque<Duration> retries = new ArrayDeque<>();

        void expire(Duration before) {
            expire(requests, before);
            expire(retries, before);
        }

        private static void expire(Deque<Duration> times, Duration before) {
            while (!times.isEmpty() && times.peekFirst().compareTo(before) < 0) {
                times.pollFirst();
            }
        }
    }

    private RetryBudget(double ratio, double fixedAllowance, Duration window) {
        Checks.argument(ratio >= 0, "ratio must not be negative");
        Checks.argument(fixedAllowance >= 0, "fixedAllowance must not be negative");
        this.ratio = ratio;
        this.fixedAllowance = fixedAllowance;
        this.window = Checks.notNull(window, "window");
    }

    /**
     * Creates an unused budget.
     *
     * @param ratio retries allowed for each request
     * @param fixedAllowance further retries allowed to all instances together in a window, on average
     * @param window the length of the window
     */
    public static RetryBudget create(double ratio, double fixedAllowance, Duration window) {
        return new RetryBudget(ratio, fixedAllowance, window);
    }

    /** Counts a caller's request to a service, which adds to the budget. */
    public void recordRequest(ServiceId service, Duration now) {
        windowOf(service, now).requests.addLast(now);
    }

    /** Takes one retry from the budget; returns {@code false} if it is used up. */
    public boolean tryRetry(ServiceId service, int instances, Duration now) {
        Window current = windowOf(service, now);
        double allowed = ratio * current.requests.size() + SPLIT_FRACTION * fixedAllowance / Math.max(1, instances);
        if (current.retries.size() + 1 > allowed) {
            return false;
        }
        current.retries.addLast(now);
        return true;
    }

    private Window windowOf(ServiceId service, Duration now) {
        Window current = windows.computeIfAbsent(service, id -> new Window());
        current.expire(now.minus(window));
        return current;
    }
}
