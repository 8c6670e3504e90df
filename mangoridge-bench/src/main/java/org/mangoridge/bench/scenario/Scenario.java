package org.mangoridge.bench.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.DoubleStream;

import org.mangoridge.bench.load.ArrivalSchedule.Flow;
import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.standin.engine.EngineFaults;

/** What a run puts the system through. */
public enum Scenario {
    /** The Chalk Traders at their peak. */
    CHALK_PEAK(Fleet.chalk(), 0.95, List.of()),
    /** Nyktomouseio at the evening peak. */
    MUSEUM_PEAK(Fleet.museum(), 0.95, List.of()),
    /** 1.3 times what the servers can do. */
    OVERLOAD(Fleet.chalk(), 1.3, List.of()),
    /** One caller who can't wait sends as much as 0.6 of the capacity on top, for half of the interval. */
    BURST(Fleet.chalk(), 0.7, List.of()),
    /** A decode server needs four times as long for everything. */
    SLOW_SERVER(Fleet.chalk(), 0.7, List.of(new FaultStep(0, "decode-1", EngineFaults.slow(4)))),
    /** A decode server dies after a third of the interval and returns after two. */
    DYING_SERVER(
            Fleet.chalk(),
            0.7,
            List.of(
                    new FaultStep(0.33, "decode-1", EngineFaults.crash()),
                    new FaultStep(0.67, "decode-1", EngineFaults.none()))),
    /** The links of two decode servers bring nothing for the middle third of the interval. */
    STALLED_LINKS(
            Fleet.chalk(),
            0.6,
            List.of(
                    new FaultStep(0.33, "decode-1", EngineFaults.stalledLink()),
                    new FaultStep(0.33, "decode-2", EngineFaults.stalledLink()),
                    new FaultStep(0.67, "decode-1", EngineFaults.none()),
                    new FaultStep(0.67, "decode-2", EngineFaults.none()))),
    /** An entry instance dies after a third of the interval; one of its name starts after two. */
    KILLED_INSTANCE(0.7, List.of(new SystemStep.InstanceKilled(0.33, 1), new SystemStep.InstanceStarted(0.67, 1))),
    /** The platform does not answer in the middle third of the interval. */
    PLATFORM_OUTAGE(
            0.7, List.of(new SystemStep.PlatformOutage(0.33, true), new SystemStep.PlatformOutage(0.67, false)));

    private static final double BURST_LOAD = 0.6;
    private static final double BURST_FROM = 0.25;
    private static final double BURST_TO = 0.75;
    private static final int BURST_CALLER = 1;

    private final Fleet fleet;
    private final double load;
    private final List<FaultStep> faults;
    private final List<SystemStep> steps;

    Scenario(Fleet fleet, double load, List<FaultStep> faults) {
        this.fleet = fleet;
        this.load = load;
        this.faults = faults;
        this.steps = List.of();
    }

    Scenario(double load, List<SystemStep> steps) {
        this.fleet = Fleet.chalk();
        this.load = load;
        this.faults = List.of();
        this.steps = steps;
    }

    /** Returns the scenario with the name that the command line uses. */
    public static Optional<Scenario> named(String name) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.text().equals(name))
                .findFirst();
    }

    /** Returns the name that the command line uses. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the servers and classes. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns the load as a share of the capacity. */
    public double load() {
        return load;
    }

    /** Returns the changes of faults in the order of their times. */
    public List<FaultStep> faults() {
        return faults;
    }

    /** Returns what happens to the system beside the faults of servers, in the order of the times. */
    public List<SystemStep> steps() {
        return steps;
    }

    /** Returns when the first of all faults and steps happens, as a share of the measured interval; 1 if none does. */
    public double firstAt() {
        return times().min().orElse(1);
    }

    /** Returns when the last of all faults and steps happens, as a share of the measured interval; 1 if none does. */
    public double lastAt() {
        return times().max().orElse(1);
    }

    /** Tells whether one caller sends a burst. */
    public boolean hasBurst() {
        return this == BURST;
    }

    /** Tells whether {@code caller} is the one that sends the burst. */
    public boolean isBursting(String caller) {
        return caller.equals(fleet.classes().get(0).caller(BURST_CALLER));
    }

    private DoubleStream times() {
        return DoubleStream.concat(
                faults.stream().mapToDouble(FaultStep::at), steps.stream().mapToDouble(SystemStep::at));
    }

    /**
     * Returns the streams of arrivals.
     *
     * @param perSecond the rate of all classes together
     * @param capacityPerSecond the rate that uses up the capacity
     * @param times the parts of the segment
     */
    public List<Flow> flows(double perSecond, double capacityPerSecond, SegmentTimes times) {
        List<Flow> flows = new ArrayList<>();
        flows.add(new Flow(Duration.ZERO, times.whole(), perSecond, fleet.classes(), 0));
        if (hasBurst()) {
            TrafficClass urgent = fleet.classes().get(0);
            flows.add(new Flow(
                    times.measuredAt(BURST_FROM),
                    times.measuredAt(BURST_TO),
                    BURST_LOAD * capacityPerSecond,
                    List.of(urgent),
                    BURST_CALLER));
        }
        return flows;
    }
}
