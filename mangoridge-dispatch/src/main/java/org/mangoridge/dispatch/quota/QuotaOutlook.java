package org.mangoridge.dispatch.quota;

/**
 * What a request would find of the quota of its workspace now.
 *
 * @param units the units that the request would be charged
 * @param grantedShare the share of such requests that is granted now, 0 to 1
 * @param left the units left in the bucket; negative if more was granted than the quota allows
 */
public record QuotaOutlook(long units, double grantedShare, double left) {}
