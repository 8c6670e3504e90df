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
 * The requests of one service that can wait; workspaces take turns by weight, each one's requests in their order.
 *
 * <p>When it is full, the workspace with the most waiting requests gives way.
 */
final class FairQueue {

    /**
     * A waiting request.
     *
     * @param facts what is known of it
     * @param limitNanos when waiting has to end
     */
    record Waiting(RequestFacts facts, long limitNanos) {}

    /** What one workspace has waiting. */
    private static final class Line {

        private final WorkspaceId workspace;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private double turn;

        private Line(WorkspaceId workspace, double turn) {
            this.workspace = workspace;
            this.turn = turn;
        }
    }

    private static final int MAX_WAITING = 2048;
    private static final double INITIAL_SECONDS_PER_REQUEST = 0.0;
    private static final double WEIGHT_OF_NEWEST = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceId, Line> lines = new HashMap<>();
    private final NavigableSet<Line> turns =
            new TreeSet<>(Comparator.comparingDouble((Line line) -> line.turn).thenComparing(line -> line.workspace));
    private final MovingAverage secondsPerRequest = new MovingAverage(INITIAL_SECONDS_PER_REQUEST, WEIGHT_OF_NEWEST);
    private int size;
    private double lastTurn;
    private long startedNanos;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Adds a request at the end of its workspace's line; returns the one that had to give way, if any. */
    Optional<Waiting> add(Waiting request, long nowNanos) {
        if (size == 0) {
            startedNanos = nowNanos;
        }
        WorkspaceId workspace = request.facts().caller().workspace();
        Line line = lines.get(workspace);
        if (line == null) {
            line = new Line(workspace, lastTurn);
            lines.put(workspace, line);
            turns.add(line);
        }
        line.waiting.addLast(request);
        size++;
        if (size <= MAX_WAITING) {
            return Optional.empty();
        }
        Line longest = lines.values().stream()
                .max(Comparator.comparingInt(candidate -> candidate.waiting.size()))
                .orElseThrow();
        Waiting dropped = longest.waiting.removeLast();
        afterRemoval(longest);
        return Optional.of(dropped);
    }

    /** Returns the request whose turn it is. */
    Optional<Waiting> head() {
        return turns.isEmpty()
                ? Optional.empty()
                : Optional.of(turns.first().waiting.peekFirst());
    }

    /** Takes the head off because it starts; {@code cost} delays the next turn of its workspace. */
    void pollHead(double cost, long nowNanos) {
        Line line = turns.pollFirst();
        Waiting head = line.waiting.removeFirst();
        lastTurn = line.turn;
        line.turn += cost / head.facts().callerClass().share();
        turns.add(line);
        afterRemoval(line);
        secondsPerRequest.add((nowNanos - startedNanos) / NANOS_PER_SECOND);
        startedNanos = nowNanos;
    }

    /** Takes a request out, if it waits here. */
    Optional<Waiting> remove(RequestId request) {
        for (Line line : lines.values()) {
            for (Iterator<Waiting> each = line.waiting.iterator(); each.hasNext(); ) {
                Waiting waiting = each.next();
                if (waiting.facts().id().equals(request)) {
                    each.remove();
                    afterRemoval(line);
                    return Optional.of(waiting);
                }
            }
        }
        return Optional.empty();
    }

    /** Forecasts how long a new request of {@code workspace} would wait if starts are no closer than given. */
    double expectedWaitSeconds(WorkspaceId workspace, double leastSecondsPerRequest, long nowNanos) {
        Line line = lines.get(workspace);
        return expectedSeconds(line == null ? 0 : line.waiting.size(), leastSecondsPerRequest, nowNanos);
    }

    /** Takes out every request that can't start before its limit, allowing for a forecast wrong by {@code doubt}. */
    List<Waiting> removeUnservable(double doubt, long nowNanos) {
        List<Waiting> hopeless = new ArrayList<>();
        for (Line line : List.copyOf(lines.values())) {
            int ahead = 0;
            for (Iterator<Waiting> each = line.waiting.iterator(); each.hasNext(); ) {
                Waiting waiting = each.next();
                double remaining = (waiting.limitNanos() - nowNanos) / NANOS_PER_SECOND;
                if (remaining <= 0 || expectedSeconds(ahead, 0, nowNanos) > remaining * doubt) {
                    each.remove();
                    size--;
                    hopeless.add(waiting);
                } else {
                    ahead++;
                }
            }
            if (line.waiting.isEmpty()) {
                turns.remove(line);
                lines.remove(line.workspace);
            }
        }
        return hopeless;
    }

    private double expectedSeconds(int aheadInLine, double least, long nowNanos) {
        if (size == 0) {
            return 0;
        }
        double measured = Math.max(secondsPerRequest.value(), (nowNanos - startedNanos) / NANOS_PER_SECOND);
        double pace = Math.max(measured, least);
        return pace * Math.min(size, (double) (aheadInLine + 1) * lines.size());
    }

    private void afterRemoval(Line line) {
        size--;
        if (line.waiting.isEmpty()) {
            turns.remove(line);
            lines.remove(line.workspace);
        }
    }
}
