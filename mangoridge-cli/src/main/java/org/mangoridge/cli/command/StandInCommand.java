package org.mangoridge.cli.command;

import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.Options;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;
import org.mangoridge.standin.platform.PlatformStandIn;
import org.mangoridge.standin.service.ServiceStandIn;

/** Runs a stand-in for an outside system until it is told to stop. */
public final class StandInCommand implements Command {

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String arguments() {
        return "platform|engine|service";
    }

    @Override
    public String summary() {
        return "Run a stand-in for the platform, an engine or a plain service.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "listen", true, "the address to listen on, HOST:PORT")
                .addOption(null, "role", true, "engine: prefill, decode or both (default both)")
                .addOption(null, "model", true, "engine: the model loaded (default guide-llm)")
                .addOption(null, "version", true, "engine: its version (default 1)")
                .addOption(null, "slots", true, "engine: how many requests decode at once (default 20)")
                .addOption(null, "ignore-fencing", false, "engine: obey orders with old fencing numbers");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String kind = invocation.onlyArgument("of platform, engine, service");
        HostPort bind = invocation.requiredAddress("listen");
        HostPort address =
                switch (kind) {
                    case "platform" -> PlatformStandIn.start(bind).address();
                    case "engine" ->
                        EngineStandIn.start(bind, profile(invocation), SystemClock.instance())
                                .address();
                    case "service" -> ServiceStandIn.start(bind).address();
                    default -> throw new UsageException("expected platform, engine or service: " + kind);
                };
        invocation.out().println(kind + " at " + address);
        invocation.out().flush();
        awaitForever();
        return ExitCode.DONE;
    }

    private static EngineProfile profile(Invocation invocation) {
        EngineProfile profile = EngineProfile.of(
                invocation.option("role").orElse("both"),
                invocation.option("model").orElse("guide-llm"),
                invocation.option("version").orElse("1"));
        return profile.withSizes(profile.sizes()
                        .withSlots(invocation
                                .option("slots")
                                .map(StandInCommand::positive)
                                .orElse(profile.sizes().slots())))
                .withFencingCheck(!invocation.has("ignore-fencing"));
    }

    private static int positive(String text) {
        try {
            int number = Integer.parseInt(text);
            if (number > 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // answered below
        }
        throw new UsageException("expected a positive whole number: " + text);
    }

    private static void awaitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
