package org.mangoridge.orders.lease;

import org.mangoridge.core.Checks;

/**
 * A lease as the platform's store holds it.
 *
 * @param instance the holder
 * @param incarnation the holder's run
 * @param fencing the holder's fencing number
 * @param renewal counts the writes of one tenure, so that a holder knows its own latest write
 * @param durationMillis how long the lease lasts from a renewal
 * @param released whether the holder gave it back with no order in progress
 */
public record LeaseRecord(
        String instance, long incarnation, long fencing, long renewal, long durationMillis, boolean released) {

    public LeaseRecord {
        Checks.notBlank(instance, "instance");
        Checks.argument(fencing >= 1, "fencing must be at least 1: %d", fencing);
        Checks.argument(durationMillis >= 1, "durationMillis must be at least 1: %d", durationMillis);
    }

    /** Tells whether {@code other} was written by the same holder in the same tenure. */
    public boolean isSameTenure(LeaseRecord other) {
        return instance.equals(other.instance) && incarnation == other.incarnation && fencing == other.fencing;
    }

    /** Returns the record of the next renewal. */
    LeaseRecord renewed() {
        return new LeaseRecord(instance, incarnation, fencing, renewal + 1, durationMillis, false);
    }

    /** Returns the record that gives the lease back. */
    LeaseRecord givenBack() {
        return new LeaseRecord(instance, incarnation, fencing, renewal + 1, durationMillis, true);
    }
}
