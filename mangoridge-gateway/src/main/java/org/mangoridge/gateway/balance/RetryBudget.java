package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;

/**
 * Bounds how often requests are sent once more, for each service, over a sliding window.
 *
 * <p>The bound holds for all instances together. Each keeps to its own part of it without asking the others, so it
 * also holds when instances cannot see each other.
 */
public final class RetryBudget {

    /** The part of the fleet's fixed allowance that instances share out; the rest covers instances not yet known. */
    private static final double SHARED_OUT = 0.8;

    private final double ratio;
    private final int fixedAllowance;
    private final Duration window;
    private final Map<ServiceId, Window> windows = new HashMap<>();

    private static final class Window {
        private final Deque<Duration> requests = new ArrayDeque<>();
        private final Deque<Duration> repeats = new ArrayDeque<>();

        void expire(Duration before) {
            expire(requests, before);
            expire(repeats, before);
        }

        private static void expire(Deque<Duration> times, Duration before) {
            while (!times.isEmpty() && times.peekFirst().compareTo(before) < 0) {
                times.pollFirst();
            }
        }
    }

    private RetryBudget(double ratio, int fixedAllowance, Duration window) {
        Checks.argument(ratio >= 0, "ratio must not be negative");
        Checks.argument(fixedAllowance >= 0, "allowance must not be negative");
        this.ratio = ratio;
        this.fixedAllowance = fixedAllowance;
        this.window = Checks.notNull(window, "window");
    }

    /**
     * Returns an unused budget.
     *
     * @param ratio repeats that are allowed for each request
     * @param fixedAllowance repeats that all instances together are allowed besides, in a window
     * @param window the length of the window
     */
    public static RetryBudget create(double ratio, int fixedAllowance, Duration window) {
        return new RetryBudget(ratio, fixedAllowance, window);
    }

    /** Counts a request of a caller for a service. */
    public void recordRequest(ServiceId service, Duration now) {
        windowOf(service, now).requests.addLast(now);
    }

    /** Takes one repeat from the budget; false if it is used up. */
    public boolean tryRetry(ServiceId service, int instances, Duration now) {
        Window current = windowOf(service, now);
        double allowed = ratio * current.requests.size() + SHARED_OUT * fixedAllowance / Math.max(1, instances);
        if (current.repeats.size() + 1 > allowed) {
            return false;
        }
        current.repeats.addLast(now);
        return true;
    }

    private Window windowOf(ServiceId service, Duration now) {
        Window current = windows.computeIfAbsent(service, id -> new Window());
        current.expire(now.minus(window));
        return current;
    }
}
