package org.mangoridge.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

import com.sun.management.OperatingSystemMXBean;
import org.mangoridge.bench.load.Arrival;
import org.mangoridge.bench.load.ArrivalSchedule;
import org.mangoridge.bench.load.LoadGenerator;
import org.mangoridge.bench.load.Outcome;
import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.bench.measure.Capacity;
import org.mangoridge.bench.measure.ClassResult;
import org.mangoridge.bench.measure.Delays;
import org.mangoridge.bench.measure.GoodputBound;
import org.mangoridge.bench.measure.Need;
import org.mangoridge.bench.measure.PolicyResult;
import org.mangoridge.bench.scenario.FaultStep;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.bench.scenario.Scenario;
import org.mangoridge.bench.scenario.SegmentTimes;
import org.mangoridge.bench.scenario.SystemStep;
import org.mangoridge.core.time.Clock;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.standin.engine.EngineCounts;
import org.mangoridge.standin.engine.OutputLength;

/** One stretch of load under one policy on a system of its own. */
final class Segment {

    private static final String NO_GROUP = "";
    private static final Duration EVICTION_PAUSE = Duration.ofSeconds(1);

    private final Scenario scenario;
    private final double load;
    private final SegmentTimes times;
    private final Clock clock;

    Segment(Scenario scenario, double load, SegmentTimes times, Clock clock) {
        this.scenario = scenario;
        this.load = load;
        this.times = times;
        this.clock = clock;
    }

    /** Runs the load that {@code seed} decides and returns what came of the measured interval. */
    PolicyResult run(PolicyName policy, long seed) throws InterruptedException {
        Fleet fleet = scenario.fleet();
        double capacity = Capacity.requestsPerSecond(fleet);
        List<Arrival> schedule = ArrivalSchedule.of(scenario.flows(load * capacity, capacity, times), seed);
        try (BenchSystem system = BenchSystem.start(fleet, policy, clock, seed);
                LoadGenerator generator = generator(system)) {
            AtomicReference<EngineCounts> before = new AtomicReference<>(EngineCounts.none());
            ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
            try {
                at(timer, times.warmUp(), () -> before.set(system.engines().counts()));
                for (FaultStep step : scenario.faults()) {
                    at(timer, times.measuredAt(step.at()), () -> system.engines()
                            .apply(step));
                }
                for (SystemStep step : scenario.steps()) {
                    at(timer, times.measuredAt(step.at()), () -> system.apply(step));
                }
                Duration started = clock.elapsed();
                Duration processorBefore = processorTime();
                List<Outcome> outcomes = generator.run(schedule);
                double cores = ratio(
                        processorTime().minus(processorBefore), clock.elapsed().minus(started));
                Thread.sleep(EVICTION_PAUSE);
                return result(system, outcomes, system.engines().counts().since(before.get()), cores);
            } finally {
                timer.shutdownNow();
            }
        }
    }

    private LoadGenerator generator(BenchSystem system) {
        Fleet fleet = scenario.fleet();
        int shortest = fleet.decodeProfile().sizes().minOutputTokens();
        return LoadGenerator.create(
                clock,
                fleet.service(),
                system::nextCallerAddress,
                system.keys(),
                (prompt, maxTokens, tokens) -> tokens == OutputLength.of(prompt, maxTokens, shortest));
    }

    private PolicyResult result(BenchSystem system, List<Outcome> all, EngineCounts engines, double cores) {
        Fleet fleet = scenario.fleet();
        List<Outcome> measured = all.stream()
                .filter(outcome -> times.isMeasured(outcome.arrival().at()))
                .toList();
        List<List<Outcome>> byClass = new ArrayList<>();
        List<List<Need>> needs = new ArrayList<>();
        for (TrafficClass trafficClass : fleet.classes()) {
            List<Outcome> ofClass = measured.stream()
                    .filter(outcome -> outcome.arrival().trafficClass().equals(trafficClass))
                    .toList();
            byClass.add(ofClass);
            needs.add(ofClass.stream()
                    .map(outcome -> Need.of(outcome.arrival(), fleet.decodeProfile()))
                    .toList());
        }
        List<Integer> bounds = GoodputBound.of(Capacity.of(fleet, times.measured(), scenario.faults()), needs);
        Map<String, ClassResult> classes = new LinkedHashMap<>();
        for (int index = 0; index < byClass.size(); index++) {
            List<Outcome> outcomes = byClass.get(index);
            int falseNotRun = falseNotRun(outcomes, system);
            classes.put(fleet.classes().get(index).name(), ClassResult.of(outcomes, bounds.get(index), falseNotRun));
        }
        Map<String, ClassResult> groups = new LinkedHashMap<>();
        measured.stream()
                .collect(Collectors.groupingBy(this::group, TreeMap::new, Collectors.toList()))
                .forEach((name, outcomes) ->
                        groups.put(name, ClassResult.of(outcomes, 0, falseNotRun(outcomes, system))));
        groups.remove(NO_GROUP);
        return new PolicyResult(classes, groups, engines, Delays.of(system.memoryFreed()), sentLate(measured), cores);
    }

    /** Returns the part of the scenario that a request belongs to: a phase, or whether the caller sends a burst. */
    private String group(Outcome outcome) {
        Arrival arrival = outcome.arrival();
        if (scenario.hasBurst()) {
            return scenario.isBursting(arrival.caller()) ? "caller of the burst" : "other callers";
        }
        if (scenario.firstAt() == scenario.lastAt()) {
            return NO_GROUP;
        }
        if (arrival.at().compareTo(times.measuredAt(scenario.firstAt())) < 0) {
            return "1 before";
        }
        return arrival.at().compareTo(times.measuredAt(scenario.lastAt())) < 0 ? "2 during" : "3 after";
    }

    private static int falseNotRun(List<Outcome> outcomes, BenchSystem system) {
        return (int) outcomes.stream()
                .filter(outcome -> outcome.saysNotRun() && system.engines().hasRun(outcome.requestId()))
                .count();
    }

    private static Delays sentLate(List<Outcome> outcomes) {
        return Delays.of(outcomes.stream().map(Outcome::sentLate).toList());
    }

    private static void at(ScheduledExecutorService timer, Duration delay, Runnable task) {
        timer.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static Duration processorTime() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean bean
                ? Duration.ofNanos(bean.getProcessCpuTime())
                : Duration.ZERO;
    }

    private static double ratio(Duration part, Duration whole) {
        return (double) part.toNanos() / whole.toNanos();
    }
}
