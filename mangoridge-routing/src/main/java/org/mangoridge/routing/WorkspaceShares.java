package org.mangoridge.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.mangoridge.core.id.WorkspaceId;

/** Divides this instance's room between the workspaces that used it lately, by the weights of their classes. */
final class WorkspaceShares {

    private static final int MAX_WORKSPACES = 4096;
    private static final long ACTIVE_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double DEVIATIONS = 2;
    private static final int LEAST_DUE = 3;

    private static final class Use {

        private final int weight;
        private int inFlight;
        private long usedNanos;

        private Use(int weight) {
            this.weight = weight;
        }
    }

    private final Map<WorkspaceId, Use> uses = new LinkedHashMap<>(16, 0.75f, true);
    private int inFlight;
    private long activeWeight;

    /** Notes that a workspace asked for something. */
    void recordRequest(WorkspaceId workspace, int weight, long nowNanos) {
        Use use = uses.get(workspace);
        if (use == null) {
            use = new Use(weight);
            uses.put(workspace, use);
            activeWeight += weight;
        }
        use.usedNanos = nowNanos;
        if (uses.size() > MAX_WORKSPACES) {
            removeLeastRecentlyUsed();
        }
    }

    /** Notes that an attempt began. */
    void attemptStarted(WorkspaceId workspace) {
        Use use = uses.get(workspace);
        if (use != null) {
            use.inFlight++;
            inFlight++;
        }
    }

    /** Notes that an attempt ended. */
    void attemptEnded(WorkspaceId workspace) {
        Use use = uses.get(workspace);
        if (use != null && use.inFlight > 0) {
            use.inFlight--;
            inFlight--;
        }
    }

    /** Forgets workspaces that have been idle for a while. */
    void expireIdle(long nowNanos) {
        uses.values().removeIf(use -> {
            boolean idle = use.inFlight == 0 && nowNanos - use.usedNanos > ACTIVE_NANOS;
            activeWeight -= idle ? use.weight : 0;
            return idle;
        });
    }

    /**
     * Tells whether a workspace has what is due to it and what chance may add, if this instance may use {@code
     * freeSlots} more.
     */
    boolean isExhausted(WorkspaceId workspace, double freeSlots) {
        Use use = uses.get(workspace);
        if (use == null || uses.size() == 1) {
            return false;
        }
        double due = (inFlight + Math.max(0, freeSlots)) * use.weight / activeWeight;
        return use.inFlight >= Math.max(LEAST_DUE, Math.ceil(due + DEVIATIONS * Math.sqrt(due)));
    }

    int size() {
        return uses.size();
    }

    private void removeLeastRecentlyUsed() {
        WorkspaceId eldest = uses.keySet().iterator().next();
        Use dropped = uses.remove(eldest);
        activeWeight -= dropped.weight;
        inFlight -= dropped.inFlight;
    }
}
