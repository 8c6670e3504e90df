package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.mangoridge.core.Checks;

/**
 * Lengthens the intervals between the calls of an instance with the size of its fleet; confined to one thread.
 *
 * <p>Beyond a small fleet, the intervals grow with the number of instances, so that all together call about as often as
 * a small fleet does, until the limits are reached at which an instance would learn of changes too late. An instance
 * that hears of few peers, such as one that is cut off from them, calls as often as in a small fleet.
 */
public final class FleetPacing implements Supplier<Follower.Pacing> {

    /** Number of instances up to which the intervals do not grow. */
    static final int SMALL_FLEET = 8;

    private final Follower.Pacing least;
    private final Follower.Pacing most;
    private final IntSupplier instances;

    private FleetPacing(Follower.Pacing least, Follower.Pacing most, IntSupplier instances) {
        this.least = least;
        this.most = most;
        this.instances = instances;
    }

    /**
     * Creates a pacing.
     *
     * @param least the intervals of a small fleet
     * @param most the longest intervals, whatever the size of the fleet; those shorter than the least have no effect.
     *     Its backoff, which does not depend on the size, is the one of all fleets that are not small.
     * @param instances supplies the number of live instances, this one included
     */
    public static FleetPacing create(Follower.Pacing least, Follower.Pacing most, IntSupplier instances) {
        return new FleetPacing(
                Checks.notNull(least, "least"), Checks.notNull(most, "most"), Checks.notNull(instances, "instances"));
    }

    @Override
    public Follower.Pacing get() {
        int size = instances.getAsInt();
        if (size <= SMALL_FLEET) {
            return least;
        }
        return new Follower.Pacing(
                grown(least.batchDelay(), size, most.batchDelay()),
                most.maxBackoff(),
                grown(least.maxBackoff(), size, most.retryInterval()));
    }

    private static Duration grown(Duration smallest, int size, Duration limit) {
        Duration proportional = smallest.multipliedBy(size).dividedBy(SMALL_FLEET);
        Duration bounded = proportional.compareTo(limit) <= 0 ? proportional : limit;
        return bounded.compareTo(smallest) >= 0 ? bounded : smallest;
    }
}
