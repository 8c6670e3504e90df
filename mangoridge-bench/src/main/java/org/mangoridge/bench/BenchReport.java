package org.mangoridge.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.bench.measure.ClassResult;
import org.mangoridge.bench.measure.PolicyResult;
import org.mangoridge.http.Json;
import org.mangoridge.routing.PolicyName;

/** Prints what a run measured. */
public final class BenchReport {

    private static final Duration PROMPT_REFUSAL = Duration.ofMillis(20);
    private static final double P99 = 0.99;
    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int BAR_WIDTH = 50;

    /** One line of the JSON form. */
    private record Line(
            String scenario,
            long seed,
            String policy,
            @JsonProperty("class") String callerClass,
            @JsonProperty("can_wait") boolean canWait,
            int offered,
            int goodput,
            @JsonProperty("goodput_bound") int goodputBound,
            int late,
            int refused,
            @JsonProperty("wasted_prefill_share") double wastedPrefillShare,
            @JsonProperty("false_not_run") int falseNotRun) {}

    private final BenchOptions options;
    private final PrintStream out;

    /** Creates a report of a run of {@code options}. */
    public BenchReport(BenchOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Prints one JSON object a line, one for each policy and class. */
    public void printJson(Map<PolicyName, PolicyResult> results) {
        results.forEach((policy, result) -> options.scenario().fleet().classes().forEach(trafficClass -> {
            ClassResult sums = result.classes().get(trafficClass.name());
            out.println(Json.text(new Line(
                    options.scenario().text(),
                    options.seed(),
                    text(policy),
                    trafficClass.name(),
                    trafficClass.canWait(),
                    sums.offered(),
                    sums.goodput(),
                    sums.bound(),
                    sums.late(),
                    sums.refused(),
                    result.wastedPrefillShare(),
                    sums.falseNotRun())));
        }));
    }

    /** Prints a table of classes and a line of sums for each policy. */
    public void printText(Map<PolicyName, PolicyResult> results) {
        print(
                "scenario %s, seed %d, load %.2f of capacity%n",
                options.scenario().text(), options.seed(), options.scenario().load());
        print(
                "%-9s %-11s %-8s %7s %7s %7s %7s %5s %6s %7s %9s %13s %13s %9s%n",
                "policy",
                "class",
                "can wait",
                "offered",
                "goodput",
                "late",
                "refused",
                "(cut",
                "wrong)",
                "bound",
                "of bound",
                "false not-run",
                "refused p99",
                "in 20 ms");
        results.forEach((policy, result) -> options.scenario()
                .fleet()
                .classes()
                .forEach(trafficClass ->
                        printClass(policy, trafficClass, result.classes().get(trafficClass.name()))));
        results.forEach((policy, result) -> result.groups().forEach((name, sums) -> printGroup(policy, name, sums)));
        results.forEach(this::printSums);
    }

    private void printGroup(PolicyName policy, String name, ClassResult sums) {
        print(
                "%-9s %-20s offered %d, goodput %d (%.1f%%), late %d, refused %d, cut %d, false not-run %d%n",
                text(policy),
                name,
                sums.offered(),
                sums.goodput(),
                sums.offered() == 0 ? 0 : PERCENT * sums.goodput() / sums.offered(),
                sums.late(),
                sums.refused(),
                sums.cut(),
                sums.falseNotRun());
    }

    /** Prints goodput against load, a bar for each policy and load. */
    public void printChart(List<Double> loads, List<Map<PolicyName, PolicyResult>> results) {
        print(
                "scenario %s, seed %d: goodput of classes that can't wait, %% of offered%n",
                options.scenario().text(), options.seed());
        for (int index = 0; index < loads.size(); index++) {
            double load = loads.get(index);
            results.get(index).forEach((policy, result) -> printBar(load, policy, result));
        }
    }

    private void printBar(double load, PolicyName policy, PolicyResult result) {
        int offered = 0;
        int goodput = 0;
        for (TrafficClass trafficClass : options.scenario().fleet().classes()) {
            ClassResult sums = result.classes().get(trafficClass.name());
            offered += trafficClass.canWait() ? 0 : sums.offered();
            goodput += trafficClass.canWait() ? 0 : sums.goodput();
        }
        double share = offered == 0 ? 0 : (double) goodput / offered;
        print(
                "%5.2f %-9s %-" + BAR_WIDTH + "s %5.1f%% of %d%n",
                load,
                text(policy),
                "#".repeat((int) Math.round(share * BAR_WIDTH)),
                share * PERCENT,
                offered);
    }

    private void printClass(PolicyName policy, TrafficClass trafficClass, ClassResult sums) {
        print(
                "%-9s %-11s %-8s %7d %7d %7d %7d %5d %6d %7d %8.1f%% %13d %10.1f ms %8.1f%%%n",
                text(policy),
                trafficClass.name(),
                trafficClass.canWait() ? "yes" : "no",
                sums.offered(),
                sums.goodput(),
                sums.late(),
                sums.refused(),
                sums.cut(),
                sums.wrong(),
                sums.bound(),
                sums.shareOfBound() * PERCENT,
                sums.falseNotRun(),
                millis(sums.refusals().percentile(P99)),
                sums.refusals().shareWithin(PROMPT_REFUSAL) * PERCENT);
    }

    private void printSums(PolicyName policy, PolicyResult result) {
        print(
                "%-9s wasted prefill %.2f%% of %d tokens;" + " generator late p99 %.1f ms, most %.1f ms; %.1f cores%n",
                text(policy),
                result.wastedPrefillShare() * PERCENT,
                result.engines().prefillTokens(),
                millis(result.sentLate().percentile(P99)),
                millis(result.sentLate().percentile(1)),
                result.coresUsed());
        if (result.memoryFreed().count() > 0) {
            print(
                    "%-9s memory of a killed instance freed after %.1f s%n",
                    text(policy), millis(result.memoryFreed().percentile(1)) / MILLIS_PER_SECOND);
        }
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / 1e6;
    }

    private static String text(PolicyName policy) {
        return policy.name().toLowerCase(Locale.ROOT);
    }

    private void print(String format, Object... arguments) {
        out.printf(Locale.ROOT, format, arguments);
    }
}
