package org.mangoridge.routing;

import java.util.random.RandomGenerator;

import org.mangoridge.core.id.AvailabilityZone;

/** Creates routing policies by name. */
public final class RoutingPolicies {

    private RoutingPolicies() {}

    /** Returns a new policy for an instance in {@code zone} that draws its choices from {@code random}. */
    public static RoutingPolicy create(PolicyName name, AvailabilityZone zone, RandomGenerator random) {
        return switch (name) {
            case BASELINE -> BaselinePolicy.create(random);
            case CURRENT -> DefaultRoutingPolicy.create(zone, random);
        };
    }
}
