package org.mangoridge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.bench.measure.PolicyResult;
import org.mangoridge.bench.scenario.SegmentTimes;
import org.mangoridge.core.time.Clock;
import org.mangoridge.routing.PolicyName;

/** Measures policies in alternate segments that see the same arrivals. */
public final class BenchRun {

    private static final Duration ROUND = Duration.ofSeconds(60);
    private static final Duration FIRST_SEGMENT = Duration.ofSeconds(3);

    private static final long SEEDS_PER_RUN = 1000;

    private final BenchOptions options;
    private final Clock clock;

    private BenchRun(BenchOptions options, Clock clock) {
        this.options = options;
        this.clock = clock;
    }

    /** Returns a run of {@code options}, which {@link #run()} starts. */
    public static BenchRun create(BenchOptions options, Clock clock) {
        return new BenchRun(options, clock);
    }

    /** Runs the scenario at its own load. */
    public Map<PolicyName, PolicyResult> run() throws InterruptedException {
        warmUpProcess();
        int rounds = (int) Math.max(1, options.length().dividedBy(ROUND));
        return rounds(options.scenario().load(), options.length(), rounds);
    }

    /** Runs the scenario once at each of {@code loads}, given as shares of the capacity. */
    public List<Map<PolicyName, PolicyResult>> run(List<Double> loads) throws InterruptedException {
        warmUpProcess();
        List<Map<PolicyName, PolicyResult>> results = new ArrayList<>();
        for (double load : loads) {
            results.add(rounds(load, options.length().dividedBy(loads.size()), 1));
        }
        return results;
    }

    /** Lets the machine compile what the measured segments run. */
    private void warmUpProcess() throws InterruptedException {
        new Segment(options.scenario(), options.scenario().load(), SegmentTimes.of(FIRST_SEGMENT), clock)
                .run(options.policies().get(0), ~options.seed());
    }

    private Map<PolicyName, PolicyResult> rounds(double load, Duration length, int rounds) throws InterruptedException {
        Duration segment = length.dividedBy((long) rounds * options.policies().size());
        Segment runner = new Segment(options.scenario(), load, SegmentTimes.of(segment), clock);
        Map<PolicyName, PolicyResult> sums = new EnumMap<>(PolicyName.class);
        for (int round = 0; round < rounds; round++) {
            long seed = options.seed() * SEEDS_PER_RUN + round;
            for (PolicyName policy : order(round)) {
                sums.merge(policy, runner.run(policy, seed), PolicyResult::plus);
            }
        }
        return sums;
    }

    /** Returns the policies, turned round in every second round and for every second seed. */
    private List<PolicyName> order(int round) {
        List<PolicyName> order = new ArrayList<>(options.policies());
        if (Math.floorMod(options.seed() + round, 2) == 1) {
            Collections.reverse(order);
        }
        return order;
    }
}
