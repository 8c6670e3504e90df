package org.mangoridge.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.WorkspaceId;

/**
 * A weighted fair queue for the requests of one service that can wait: fair between workspaces, FIFO within each.
 *
 * <p>When it is full, the last request of the workspace with the most queued requests is dropped.
 */
final class FairQueue {

    /**
     * A queued request.
     *
     * @param facts the properties of the request
     * @param latestStartNanos the latest time at which it may start
     */
    record QueuedRequest(RequestFacts facts, long latestStartNanos) {}

    /** The queued requests of one workspace, with its virtual time: its consumed cost divided by its weight. */
    private static final class WorkspaceQueue {

        private final WorkspaceId workspace;
        private final Deque<QueuedRequest> requests = new ArrayDeque<>();
        private double virtualTime;

        private WorkspaceQueue(WorkspaceId workspace, double virtualTime) {
            this.workspace = workspace;
            this.virtualTime = virtualTime;
        }
    }

    private static final int MAX_QUEUED = 2048;
    private static final double INITIAL_SECONDS_PER_REQUEST = 0.0;
    private static final double WEIGHT_OF_NEWEST = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceId, WorkspaceQueue> queues = new HashMap<>();
    private final NavigableSet<WorkspaceQueue> queuesByVirtualTime =
            new TreeSet<>(Comparator.comparingDouble((WorkspaceQueue queue) -> queue.virtualTime)
                    .thenComparing(queue -> queue.workspace));
    private final MovingAverage secondsPerRequest = new MovingAverage(INITIAL_SECONDS_PER_REQUEST, WEIGHT_OF_NEWEST);
    private int size;
    private double currentVirtualTime;
    private long lastStartNanos;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Adds a request to the end of its workspace's queue; returns the request that was dropped, if any. */
    Optional<QueuedRequest> add(QueuedRequest request, long nowNanos) {
        if (size == 0) {
            lastStartNanos = nowNanos;
        }
        WorkspaceId workspace = request.facts().caller().workspace();
        WorkspaceQueue queue = queues.get(workspace);
        if (queue == null) {
            queue = new WorkspaceQueue(workspace, currentVirtualTime);
            queues.put(workspace, queue);
            queuesByVirtualTime.add(queue);
        }
        queue.requests.addLast(request);
        size++;
        if (size <= MAX_QUEUED) {
            return Optional.empty();
        }
        WorkspaceQueue longest = queues.values().stream()
                .max(Comparator.comparingInt(candidate -> candidate.requests.size()))
                .orElseThrow();
        QueuedRequest dropped = longest.requests.removeLast();
        afterRemoval(longest);
        return Optional.of(dropped);
    }

    /** Returns the next request to start. */
    Optional<QueuedRequest> head() {
        return queuesByVirtualTime.isEmpty()
                ? Optional.empty()
                : Optional.of(queuesByVirtualTime.first().requests.peekFirst());
    }

    /** Removes the head, which starts now, and adds its {@code cost} to the virtual time of its workspace. */
    void pollHead(double cost, long nowNanos) {
        WorkspaceQueue queue = queuesByVirtualTime.pollFirst();
        QueuedRequest head = queue.requests.removeFirst();
        currentVirtualTime = queue.virtualTime;
        queue.virtualTime += cost / head.facts().callerClass().share();
        queuesByVirtualTime.add(queue);
        afterRemoval(queue);
        secondsPerRequest.add((nowNanos - lastStartNanos) / NANOS_PER_SECOND);
        lastStartNanos = nowNanos;
    }

    /** Removes a request, if it is queued. */
    Optional<QueuedRequest> remove(RequestId request) {
        for (WorkspaceQueue queue : queues.values()) {
            for (Iterator<QueuedRequest> iterator = queue.requests.iterator(); iterator.hasNext(); ) {
                QueuedRequest queued = iterator.next();
                if (queued.facts().id().equals(request)) {
                    iterator.remove();
                    afterRemoval(queue);
                    return Optional.of(queued);
                }
            }
        }
        return Optional.empty();
    }

    /** Forecasts the wait of a new request of {@code workspace}, given a lower bound of the interval between starts. */
    double expectedWaitSeconds(WorkspaceId workspace, double minSecondsPerRequest, long nowNanos) {
        WorkspaceQueue queue = queues.get(workspace);
        return expectedSeconds(queue == null ? 0 : queue.requests.size(), minSecondsPerRequest, nowNanos);
    }

    /** Removes the requests whose forecast wait exceeds their remaining time by more than the factor {@code tolerance}. */
    List<QueuedRequest> removeUnservable(double tolerance, long nowNanos) {
        List<QueuedRequest> unservable = new ArrayList<>();
        for (WorkspaceQueue queue : List.copyOf(queues.values())) {
            int ahead = 0;
            for (Iterator<QueuedRequest> iterator = queue.requests.iterator(); iterator.hasNext(); ) {
                QueuedRequest queued = iterator.next();
                double remaining = (queued.latestStartNanos() - nowNanos) / NANOS_PER_SECOND;
                if (remaining <= 0 || expectedSeconds(ahead, 0, nowNanos) > remaining * tolerance) {
                    iterator.remove();
                    size--;
                    unservable.add(queued);
                } else {
                    ahead++;
                }
            }
            if (queue.requests.isEmpty()) {
                queuesByVirtualTime.remove(queue);
                queues.remove(queue.workspace);
            }
        }
        return unservable;
    }

    private double expectedSeconds(int aheadInQueue, double minSecondsPerRequest, long nowNanos) {
        if (size == 0) {
            return 0;
        }
        double measured = Math.max(secondsPerRequest.value(), (nowNanos - lastStartNanos) / NANOS_PER_SECOND);
        double secondsPerStart = Math.max(measured, minSecondsPerRequest);
        return secondsPerStart * Math.min(size, (double) (aheadInQueue + 1) * queues.size());
    }

    private void afterRemoval(WorkspaceQueue queue) {
        size--;
        if (queue.requests.isEmpty()) {
            queuesByVirtualTime.remove(queue);
            queues.remove(queue.workspace);
        }
    }
}
