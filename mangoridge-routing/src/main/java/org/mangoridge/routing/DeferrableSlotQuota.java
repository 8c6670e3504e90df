package org.mangoridge.routing;

import java.util.List;

/**
 * The quota of decode slots that this instance may use for requests that can wait.
 *
 * <p>The expected demand of requests that can't wait and a margin for its variation are reserved. The remaining slots, but
 * at least a small share of all, are divided equally between the instances.
 */
final class DeferrableSlotQuota {

    private static final double MIN_SHARE = 0.05;
    private static final double MARGIN_STANDARD_DEVIATIONS = 1;

    private DeferrableSlotQuota() {}

    /** Returns this instance's quota in slots, not rounded. */
    static double slots(Demand demand, List<ServerState> decode, int instances, long nowNanos) {
        int all = 0;
        for (ServerState server : decode) {
            all += server.estimate().lastReport().slots();
        }
        double urgent = demand.urgentSlots(nowNanos) * instances;
        double rest = all - urgent - MARGIN_STANDARD_DEVIATIONS * Math.sqrt(urgent);
        return Math.max(rest, all * MIN_SHARE) / instances;
    }
}
