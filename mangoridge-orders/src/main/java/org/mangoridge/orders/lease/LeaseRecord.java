package org.mangoridge.orders.lease;

import org.mangoridge.core.Checks;

/**
 * A lease as stored on the platform.
 *
 * @param instance the instance that holds the lease
 * @param incarnation the incarnation of that instance
 * @param fencing the fencing token of the tenure
 * @param renewal the number of this write within its tenure, by which a holder recognizes its own latest write
 * @param durationMillis how long the lease is valid after each renewal
 * @param released whether the holder released the lease, with no order in progress
 */
public record LeaseRecord(
        String instance, long incarnation, long fencing, long renewal, long durationMillis, boolean released) {

    public LeaseRecord {
        Checks.notBlank(instance, "instance");
        Checks.argument(fencing >= 1, "fencing must be at least 1: %d", fencing);
        Checks.argument(durationMillis >= 1, "durationMillis must be at least 1: %d", durationMillis);
    }

    /** Tells whether {@code other} belongs to the same tenure of the same holder. */
    public boolean isSameTenure(LeaseRecord other) {
        return instance.equals(other.instance) && incarnation == other.incarnation && fencing == other.fencing;
    }

    /** Returns the record of the next renewal. */
    LeaseRecord nextRenewal() {
        return new LeaseRecord(instance, incarnation, fencing, renewal + 1, durationMillis, false);
    }

    /** Returns the record that releases the lease. */
    LeaseRecord asReleased() {
        return new LeaseRecord(instance, incarnation, fencing, renewal + 1, durationMillis, true);
    }
}
