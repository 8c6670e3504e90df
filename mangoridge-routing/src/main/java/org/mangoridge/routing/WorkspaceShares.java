package org.mangoridge.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.mangoridge.core.id.WorkspaceId;

/** Divides this instance's slots between the recently active workspaces by the weights of their caller classes. */
final class WorkspaceShares {

    private static final int MAX_WORKSPACES = 4096;
    private static final long IDLE_EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double MARGIN_STANDARD_DEVIATIONS = 2;
    private static final int MIN_IN_FLIGHT = 3;

    private static final class Usage {

        private final int weight;
        private int inFlight;
        private long lastUsedNanos;

        private Usage(int weight) {
            this.weight = weight;
        }
    }

    private final Map<WorkspaceId, Usage> usages = new LinkedHashMap<>(16, 0.75f, true);
    private int inFlight;
    private long totalWeight;

    /** Records a request of a workspace. */
    void recordRequest(WorkspaceId workspace, int weight, long nowNanos) {
        Usage usage = usages.get(workspace);
        if (usage == null) {
            usage = new Usage(weight);
            usages.put(workspace, usage);
            totalWeight += weight;
        }
        usage.lastUsedNanos = nowNanos;
        if (usages.size() > MAX_WORKSPACES) {
            removeLeastRecentlyUsed();
        }
    }

    /** Records the start of an attempt. */
    void attemptStarted(WorkspaceId workspace) {
        Usage usage = usages.get(workspace);
        if (usage != null) {
            usage.inFlight++;
            inFlight++;
        }
    }

    /** Records the end of an attempt. */
    void attemptEnded(WorkspaceId workspace) {
        Usage usage = usages.get(workspace);
        if (usage != null && usage.inFlight > 0) {
            usage.inFlight--;
            inFlight--;
        }
    }

    /** Removes workspaces that have been idle for a while. */
    void expireIdle(long nowNanos) {
        usages.values().removeIf(usage -> {
            boolean idle = usage.inFlight == 0 && nowNanos - usage.lastUsedNanos > IDLE_EXPIRY_NANOS;
            totalWeight -= idle ? usage.weight : 0;
            return idle;
        });
    }

    /**
     * Returns whether a workspace has used up its fair share and a margin for random variation, if this instance may
     * use {@code freeSlots} more slots.
     */
    boolean isExhausted(WorkspaceId workspace, double freeSlots) {
        Usage usage = usages.get(workspace);
        if (usage == null || usages.size() == 1) {
            return false;
        }
        double fairShare = (inFlight + Math.max(0, freeSlots)) * usage.weight / totalWeight;
        return usage.inFlight
                >= Math.max(MIN_IN_FLIGHT, Math.ceil(fairShare + MARGIN_STANDARD_DEVIATIONS * Math.sqrt(fairShare)));
    }

    int size() {
        return usages.size();
    }

    private void removeLeastRecentlyUsed() {
        WorkspaceId eldest = usages.keySet().iterator().next();
        Usage dropped = usages.remove(eldest);
        totalWeight -= dropped.weight;
        inFlight -= dropped.inFlight;
    }
}
