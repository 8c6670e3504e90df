package org.mangoridge.dispatch.quota;

import java.time.Duration;

/** Whether a request is within the quota of its workspace. */
public sealed interface QuotaDecision {

    /**
     * The request may run.
     *
     * @param units the units that are charged to its workspace
     */
    record Granted(long units) implements QuotaDecision {}

    /**
     * The workspace asks for more than its quota.
     *
     * @param units the units of the request
     * @param grantedShare the share of what the workspace asks for that is granted now, at all instances
     * @param retryAfter when the caller may ask again
     */
    record Exceeded(long units, double grantedShare, Duration retryAfter) implements QuotaDecision {}
}
