package org.mangoridge.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

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
import org.mangoridge.core.time.Clock;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.standin.engine.Answers;
import org.mangoridge.standin.engine.EngineCounts;

/** One stretch of load under one policy on a system of its own. */
final class Segment {

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
                at(timer, times.warmUp(), () -> before.set(system.counts()));
                for (FaultStep step : scenario.faults()) {
                    at(timer, times.measuredAt(step.at()), () -> system.apply(step));
                }
                Duration started = clock.elapsed();
                Duration processorBefore = processorTime();
                List<Outcome> outcomes = generator.run(schedule);
                double cores = ratio(
                        processorTime().minus(processorBefore), clock.elapsed().minus(started));
                Thread.sleep(EVICTION_PAUSE);
                return result(system, outcomes, system.counts().since(before.get()), cores);
            } finally {
                timer.shutdownNow();
            }
        }
    }

    private LoadGenerator generator(BenchSystem system) {
        Fleet fleet = scenario.fleet();
        int shortest = fleet.decodeProfile().sizes().shortestOutput();
        return LoadGenerator.create(
                clock,
                fleet.service(),
                system.callerAddresses(),
                system.keys(),
                (prompt, maxTokens, tokens) -> tokens == Answers.length(prompt, maxTokens, shortest));
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
            int falseNotRun = (int) outcomes.stream()
                    .filter(outcome -> outcome.saysNotRun() && system.hasRun(outcome.requestId()))
                    .count();
            classes.put(fleet.classes().get(index).name(), ClassResult.of(outcomes, bounds.get(index), falseNotRun));
        }
        return new PolicyResult(classes, engines, sentLate(measured), cores);
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
