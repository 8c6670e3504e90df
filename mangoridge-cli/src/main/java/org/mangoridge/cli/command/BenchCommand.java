package org.mangoridge.cli.command;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

import org.apache.commons.cli.Options;
import org.mangoridge.bench.BenchOptions;
import org.mangoridge.bench.BenchReport;
import org.mangoridge.bench.BenchRun;
import org.mangoridge.bench.RunLock;
import org.mangoridge.bench.scenario.Scenario;
import org.mangoridge.bench.slope.Slope;
import org.mangoridge.bench.slope.SlopeMeasurements;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.routing.PolicyName;

/** Measures routing policies under load. */
public final class BenchCommand implements Command {

    private static final List<Logger> LOGGERS =
            List.of(Logger.getLogger("org.mangoridge"), Logger.getLogger("ratpack"));
    private static final String DEFAULT_SECONDS = "60";
    private static final List<Double> CHART_LOADS = List.of(0.5, 0.75, 1.0, 1.25, 1.5);

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Measure routing policies under load on embedded stand-ins.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "scenario", true, scenarioNames())
                .addOption(null, "seed", true, "decides arrivals and lengths (default 1)")
                .addOption(null, "seconds", true, "how long load lasts, over all policies (default 60)")
                .addOption(null, "policy", true, "baseline or current (default both, in turn)")
                .addOption(null, "json", false, "print one JSON object a line for each policy and class")
                .addOption(null, "slopes", false, "print how costs grow with the size of the system, without load")
                .addOption(null, "chart", false, "print goodput against load, at " + CHART_LOADS + " of capacity");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
        try (RunLock lock = RunLock.tryTake().orElse(null)) {
            if (lock == null) {
                invocation.err().println("another measured run is in progress on this machine");
                return ExitCode.FAILED;
            }
            measure(invocation);
            return ExitCode.DONE;
        } catch (IOException e) {
            invocation.err().println("the lock file can't be used: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private static void measure(Invocation invocation) throws InterruptedException {
        if (invocation.has("slopes")) {
            SlopeMeasurements.create(SystemClock.instance()).measure().forEach(slope -> print(invocation, slope));
            return;
        }
        BenchOptions options = benchOptions(invocation);
        BenchRun run = BenchRun.create(options, SystemClock.instance());
        BenchReport report = new BenchReport(options, invocation.out());
        if (invocation.has("chart")) {
            report.printChart(CHART_LOADS, run.run(CHART_LOADS));
        } else if (invocation.has("json")) {
            report.printJson(run.run());
        } else {
            report.printText(run.run());
        }
    }

    private static void print(Invocation invocation, Slope slope) {
        invocation.out().println(slope.cost() + ", by " + slope.size());
        for (Slope.Point point : slope.points()) {
            invocation.out().printf(Locale.ROOT, "  %10.0f %12.2f%n", point.size(), point.cost());
        }
        invocation.out().printf(Locale.ROOT, "  each more %12.4f, at none %.2f%n", slope.perUnit(), slope.atZero());
    }

    private static BenchOptions benchOptions(Invocation invocation) {
        String name = invocation.requiredOption("scenario");
        Scenario scenario = Scenario.named(name)
                .orElseThrow(() -> new UsageException("there is no scenario " + name + "; " + scenarioNames()));
        long seed = number(invocation.option("seed").orElse("1"));
        long seconds = number(invocation.option("seconds").orElse(DEFAULT_SECONDS));
        if (seconds < 1) {
            throw new UsageException("--seconds must be at least 1");
        }
        return new BenchOptions(scenario, seed, Duration.ofSeconds(seconds), policies(invocation.option("policy")));
    }

    private static List<PolicyName> policies(Optional<String> name) {
        if (name.isEmpty()) {
            return List.of(PolicyName.values());
        }
        return Arrays.stream(PolicyName.values())
                .filter(policy -> policy.name().toLowerCase(Locale.ROOT).equals(name.get()))
                .findFirst()
                .map(List::of)
                .orElseThrow(() -> new UsageException("--policy must be baseline or current"));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("expected a whole number: " + text);
        }
    }

    private static String scenarioNames() {
        return Arrays.stream(Scenario.values()).map(Scenario::text).collect(Collectors.joining(", "));
    }
}
