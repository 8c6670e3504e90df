package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.mangoridge.core.Checks;

/**
 * Requests that wait for room at the servers of one service; bounded, used by one thread.
 *
 * <p>Requests that can still be on time go first, the more urgent rank before the others and the earliest deadline
 * within a rank. Those that will be late go when nothing on time waits, the longest wait first.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {

    private final int capacity;
    private final List<Waiter<T>> waiters = new ArrayList<>();

    /**
     * A request that waits.
     *
     * @param item what waits
     * @param priority its rank, 0 first
     * @param arrived when it arrived
     * @param onTimeUntil when it must be placed to be on time
     * @param giveUpAt when waiting makes no sense any more
     */
    public record Waiter<T>(T item, int priority, Duration arrived, Duration onTimeUntil, Duration giveUpAt) {

        boolean canBeOnTime(Duration now) {
            return now.compareTo(onTimeUntil) <= 0;
        }
    }

    private AdmissionQueue(int capacity) {
        Checks.argument(capacity > 0, "capacity must be positive: %d", capacity);
        this.capacity = capacity;
    }

    /** Returns an empty line for at most {@code capacity} requests. */
    public static <T> AdmissionQueue<T> create(int capacity) {
        return new AdmissionQueue<>(capacity);
    }

    /** Adds a request; false if the line is full. */
    public boolean offer(Waiter<T> waiter) {
        return waiters.size() < capacity && waiters.add(waiter);
    }

    /** Removes a request, such as one whose caller has gone; false if it does not wait. */
    public boolean remove(T item) {
        return waiters.removeIf(waiter -> waiter.item() == item);
    }

    /** Removes and returns the requests that must be given up now. */
    public List<Waiter<T>> expire(Duration now) {
        List<Waiter<T>> expired = waiters.stream()
                .filter(waiter -> now.compareTo(waiter.giveUpAt()) >= 0)
                .toList();
        waiters.removeAll(expired);
        return expired;
    }

    /** Returns the requests in the order in which they are to be placed. */
    public List<Waiter<T>> inPlacementOrder(Duration now) {
        Comparator<Waiter<T>> onTime =
                Comparator.comparingInt((Waiter<T> waiter) -> waiter.priority()).thenComparing(Waiter::onTimeUntil);
        Comparator<Waiter<T>> late = Comparator.comparing(Waiter::arrived);
        return waiters.stream()
                .sorted((one, other) -> {
                    boolean oneOnTime = one.canBeOnTime(now);
                    if (oneOnTime != other.canBeOnTime(now)) {
                        return oneOnTime ? -1 : 1;
                    }
                    return oneOnTime ? onTime.compare(one, other) : late.compare(one, other);
                })
                .toList();
    }

    /** Returns how many requests wait. */
    public int size() {
        return waiters.size();
    }
}
