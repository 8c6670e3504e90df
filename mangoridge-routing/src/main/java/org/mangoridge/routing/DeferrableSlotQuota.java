package org.mangoridge.routing;

import java.util.List;

/**
 * How many slots this instance may give to requests that can wait.
 *
 * <p>What requests that can't wait would use if all were served, and a margin for its variation, is left to them; every
 * instance takes an equal part of the rest, but at least a small share of all slots stays for requests that can wait.
 */
final class DeferrableSlotQuota {

    private static final double LEAST_SHARE = 0.05;
    private static final double DEVIATIONS = 1;

    private DeferrableSlotQuota() {}

    /** Returns the slots of this instance's part, not rounded. */
    static double slots(Demand demand, List<ServerState> decode, int instances, long nowNanos) {
        int all = 0;
        for (ServerState server : decode) {
            all += server.estimate().lastReport().slots();
        }
        double urgent = demand.urgentSlots(nowNanos) * instances;
        double rest = all - urgent - DEVIATIONS * Math.sqrt(urgent);
        return Math.max(rest, all * LEAST_SHARE) / instances;
    }
}
