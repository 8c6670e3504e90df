package org.mangoridge.bench;

import java.time.Duration;
import java.util.List;

import org.mangoridge.bench.scenario.Scenario;
import org.mangoridge.core.Checks;
import org.mangoridge.routing.PolicyName;

/**
 * What to measure.
 *
 * @param scenario the scenario
 * @param seed decides arrivals, lengths and the order of the policies
 * @param length how long load lasts, over all policies and segments
 * @param policies the policies to compare
 */
public record BenchOptions(Scenario scenario, long seed, Duration length, List<PolicyName> policies) {

    public BenchOptions {
        Checks.argument(length.isPositive(), "length must be positive: %s", length);
        Checks.argument(!policies.isEmpty(), "policies must not be empty");
        policies = List.copyOf(policies);
    }
}
