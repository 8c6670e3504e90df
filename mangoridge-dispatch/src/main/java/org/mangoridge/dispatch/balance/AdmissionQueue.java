package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.WorkspaceId;

/**
 * A bounded queue of requests that wait for capacity at the servers of one service; confined to one thread.
 *
 * <p>Requests that can still meet their latency target come first, by priority, then those of workspaces that have received
 * less service, and then by earliest deadline. The others follow, those of workspaces with less service first, in order of
 * arrival.
 *
 * @param <T> the type of the waiting requests
 */
public final class AdmissionQueue<T> {

    /** Service below which workspaces are not told apart. */
    private static final double MIN_SERVICE = 1.0 / 16;

    private final int capacity;
    private final List<Waiter<T>> waiters = new ArrayList<>();

    /**
     * A waiting request.
     *
     * @param item the request
     * @param rank what its caller and route make it count
     * @param arrived when it arrived
     * @param onTimeUntil the latest time at which it can be placed and meet its latency target
     * @param giveUpAt when it is removed from the queue
     */
    public record Waiter<T>(T item, Rank rank, Duration arrived, Duration onTimeUntil, Duration giveUpAt) {

        boolean canBeOnTime(Duration now) {
            return now.compareTo(onTimeUntil) <= 0;
        }
    }

    /**
     * The rank of a request among those that wait.
     *
     * @param priority its priority; 0 is the highest
     * @param routePriority the priority of its route, among requests of the same priority
     * @param workspace the workspace of its caller; empty if there is none
     */
    public record Rank(int priority, int routePriority, Optional<WorkspaceId> workspace) {

        public Rank {
            Checks.notNull(workspace, "workspace");
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

    /**
     * Returns the requests in the order in which they should be placed.
     *
     * @param service returns the service that a workspace has received of late, in proportion to what it may receive
     */
    public List<Waiter<T>> inPlacementOrder(ToDoubleFunction<WorkspaceId> service, Duration now) {
        Map<WorkspaceId, Integer> steps = new HashMap<>();
        ToIntFunction<Waiter<T>> step = waiter -> waiter.rank()
                .workspace()
                .map(id -> steps.computeIfAbsent(id, each -> serviceStep(service.applyAsDouble(each))))
                .orElse(0);
        Comparator<Waiter<T>> onTime = Comparator.comparingInt(
                        (Waiter<T> waiter) -> waiter.rank().priority())
                .thenComparingInt(waiter -> waiter.rank().routePriority())
                .thenComparingInt(step)
                .thenComparing(Waiter::onTimeUntil);
        Comparator<Waiter<T>> late = Comparator.comparingInt(step).thenComparing(Waiter::arrived);
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

    /** Returns the same step for services that differ by less than a factor of two, since every estimate is rough. */
    private static int serviceStep(double service) {
        return Math.getExponent(Math.max(MIN_SERVICE, service));
    }

    /**
     * Returns the number of requests that can still be on time and whose priority and route priority put them before a
     * request that comes now; the order between workspaces is left out.
     */
    public int countAhead(int priority, int routePriority, Duration now) {
        return (int) waiters.stream()
                .filter(waiter -> waiter.canBeOnTime(now))
                .filter(waiter -> waiter.rank().priority() < priority
                        || (waiter.rank().priority() == priority
                                && waiter.rank().routePriority() <= routePriority))
                .count();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return waiters.size();
    }
}
