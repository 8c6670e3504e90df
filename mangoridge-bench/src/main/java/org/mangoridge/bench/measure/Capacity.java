package org.mangoridge.bench.measure;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.mangoridge.bench.load.Arrival;
import org.mangoridge.bench.load.ArrivalSchedule;
import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.bench.scenario.FaultStep;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.standin.engine.EngineFaults;
import org.mangoridge.standin.engine.EngineRates;

/**
 * The most that servers can do in an interval.
 *
 * @param outputTokens the tokens that the slots can generate
 * @param prefillTokens the prompt tokens that can be computed
 * @param linkBytes the KV cache that the links can carry
 */
public record Capacity(double outputTokens, double prefillTokens, double linkBytes) {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration SAMPLE_TIME = Duration.ofSeconds(20);
    private static final double SAMPLE_PER_SECOND = 100;
    private static final long SAMPLE_SEED = 7;

    /** Returns the capacity of a fleet for a time in which faults come and go. */
    public static Capacity of(Fleet fleet, Duration time, List<FaultStep> faults) {
        Capacity sum = new Capacity(0, 0, 0);
        double seconds = time.toNanos() / NANOS_PER_SECOND;
        for (int number = 1; number <= fleet.prefillServers(); number++) {
            sum = sum.plus(ofServer(fleet, fleet.prefillServer(number), false, seconds, faults));
        }
        for (int number = 1; number <= fleet.decodeServers(); number++) {
            sum = sum.plus(ofServer(fleet, fleet.decodeServer(number), true, seconds, faults));
        }
        return sum;
    }

    /** Returns the rate of requests, all classes in their shares, that uses up the scarcest part in each second. */
    public static double requestsPerSecond(Fleet fleet) {
        Capacity second = of(fleet, Duration.ofSeconds(1), List.of());
        List<Arrival> sample = ArrivalSchedule.of(
                List.of(new ArrivalSchedule.Flow(Duration.ZERO, SAMPLE_TIME, SAMPLE_PER_SECOND, fleet.classes(), 0)),
                SAMPLE_SEED);
        List<Need> needs = sample.stream()
                .map(arrival -> Need.of(arrival, fleet.decodeProfile()))
                .toList();
        double output = needs.stream().mapToDouble(Need::outputTokens).average().orElseThrow();
        double prefill =
                needs.stream().mapToDouble(Need::prefillTokens).average().orElseThrow();
        double link = needs.stream().mapToDouble(Need::linkBytes).average().orElseThrow();
        return Math.min(
                second.outputTokens / output, Math.min(second.prefillTokens / prefill, second.linkBytes / link));
    }

    private static Capacity ofServer(
            Fleet fleet, String server, boolean decodes, double seconds, List<FaultStep> faults) {
        List<FaultStep> steps =
                faults.stream().filter(step -> step.server().equals(server)).toList();
        Capacity sum = new Capacity(0, 0, 0);
        EngineFaults inForce = EngineFaults.none();
        double from = 0;
        for (FaultStep step : steps) {
            sum = sum.plus(inState(fleet, decodes, inForce, (step.at() - from) * seconds));
            inForce = step.faults();
            from = step.at();
        }
        return sum.plus(inState(fleet, decodes, inForce, (1 - from) * seconds));
    }

    private static Capacity inState(Fleet fleet, boolean decodes, EngineFaults faults, double seconds) {
        if (faults.dead() || faults.stalled()) {
            return new Capacity(0, 0, 0);
        }
        EngineRates rates = fleet.decodeProfile().rates();
        double output = decodes ? bestTokensPerSecond(fleet, faults.slowFactor()) : 0;
        double prefill = rates.prefillTokensPerSecond() / faults.slowFactor();
        double link = decodes && !faults.linkStalled() ? rates.linkBytesPerSecond() / faults.slowFactor() : 0;
        return new Capacity(output * seconds, prefill * seconds, link * seconds);
    }

    /** Returns the rate of the best batch whose interval still meets the most generous per-token target. */
    private static double bestTokensPerSecond(Fleet fleet, double slowFactor) {
        Duration slowest = fleet.classes().stream()
                .map(TrafficClass::perToken)
                .max(Duration::compareTo)
                .orElseThrow();
        return IntStream.rangeClosed(1, fleet.decodeProfile().sizes().slots())
                .mapToDouble(batch -> {
                    Duration alone = fleet.decodeProfile().rates().tokenInterval(batch, false);
                    double nanos = alone.toNanos() * slowFactor;
                    return nanos <= slowest.toNanos() ? batch * NANOS_PER_SECOND / nanos : 0;
                })
                .max()
                .orElse(0);
    }

    private Capacity plus(Capacity other) {
        return new Capacity(
                outputTokens + other.outputTokens, prefillTokens + other.prefillTokens, linkBytes + other.linkBytes);
    }
}
