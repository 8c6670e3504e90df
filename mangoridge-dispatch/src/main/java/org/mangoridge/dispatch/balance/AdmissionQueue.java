package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.mangoridge.core.Checks;

/**
 * A bounded queue of requests that wait for capacity at the servers of one service; confined to one thread.
 *
 * <p>Requests that can still meet their latency target come first, by priority and then by earliest deadline. The
 * others follow in order of arrival.
 *
 * @param <T> the type of the waiting requests
 */
public final class AdmissionQueue<T> {

    private final int capacity;
    private final List<Waiter<T>> waiters = new ArrayList<>();

    /**
     * A waiting request.
     *
     * @param item the request
     * @param priority its priority; 0 is the highest
     * @param arrived when it arrived
     * @param onTimeUntil the latest time at which it can be placed and meet its latency target
     * @param giveUpAt when it is removed from the queue
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

    /** Creates an empty queue for at most {@code capacity} requests. */
    public static <T> AdmissionQueue<T> create(int capacity) {
        return new AdmissionQueue<>(capacity);
    }

    /** Adds a request; returns {@code false} if the queue is full. */
    public boolean offer(Waiter<T> waiter) {
        return waiters.size() < capacity && waiters.add(waiter);
    }

    /** Removes a request, such as one whose caller disconnected; returns {@code false} if it is not in the queue. */
    public boolean remove(T item) {
        return waiters.removeIf(waiter -> waiter.item() == item);
    }

    /** Removes and returns the requests whose wait has expired. */
    public List<Waiter<T>> expire(Duration now) {
        List<Waiter<T>> expired = waiters.stream()
                .filter(waiter -> now.compareTo(waiter.giveUpAt()) >= 0)
                .toList();
        waiters.removeAll(expired);
        return expired;
    }

    /** Returns the requests in the order in which they should be placed. */
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

    /** Returns the number of waiting requests. */
    public int size() {
        return waiters.size();
    }
}
