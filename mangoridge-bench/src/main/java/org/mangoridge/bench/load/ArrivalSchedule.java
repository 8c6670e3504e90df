package org.mangoridge.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.mangoridge.core.Checks;

/** Draws arrivals from a seed: independent of each other and of how they are answered. */
public final class ArrivalSchedule {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long DOCUMENT_SEED = 0x5eedL;

    /**
     * A stream of arrivals at a steady rate.
     *
     * @param from when it begins
     * @param to when it ends
     * @param perSecond the mean rate
     * @param classes the classes of its requests; their shares need not add up to 1
     * @param onlyCaller the number of the one caller that sends them, or 0 for all
     */
    public record Flow(Duration from, Duration to, double perSecond, List<TrafficClass> classes, int onlyCaller) {

        public Flow {
            Checks.argument(perSecond > 0, "perSecond must be positive: %s", perSecond);
            classes = List.copyOf(classes);
        }
    }

    private ArrivalSchedule() {}

    /** Returns the arrivals of all flows in the order of their times, always the same for the same seed. */
    public static List<Arrival> of(List<Flow> flows, long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        for (Flow flow : flows) {
            draw(flow, seeds.split(), arrivals);
        }
        arrivals.sort(Comparator.comparing(Arrival::at));
        return List.copyOf(arrivals);
    }

    private static void draw(Flow flow, SplittableRandom random, List<Arrival> arrivals) {
        Duration at = flow.from();
        while (true) {
            double gapSeconds = -Math.log(1 - random.nextDouble()) / flow.perSecond();
            at = at.plusNanos(Math.round(gapSeconds * NANOS_PER_SECOND));
            if (at.compareTo(flow.to()) >= 0) {
                return;
            }
            arrivals.add(arrival(at, flow, random));
        }
    }

    private static Arrival arrival(Duration at, Flow flow, SplittableRandom random) {
        TrafficClass chosen = choose(flow.classes(), random);
        int caller = flow.onlyCaller() > 0 ? flow.onlyCaller() : 1 + random.nextInt(chosen.callers());
        long document = DOCUMENT_SEED + 31L * chosen.name().hashCode() + random.nextInt(chosen.documents());
        int documentTokens = chosen.documentLength().draw(new SplittableRandom(document));
        Prompt prompt = new Prompt(
                document, documentTokens, random.nextLong(), chosen.ownPrompt().draw(random));
        return new Arrival(
                at, chosen, chosen.caller(caller), prompt, chosen.maxTokens().draw(random));
    }

    private static TrafficClass choose(List<TrafficClass> classes, SplittableRandom random) {
        double whole = classes.stream().mapToDouble(TrafficClass::share).sum();
        double draw = random.nextDouble() * whole;
        for (TrafficClass candidate : classes) {
            draw -= candidate.share();
            if (draw < 0) {
                return candidate;
            }
        }
        return classes.get(classes.size() - 1);
    }
}
