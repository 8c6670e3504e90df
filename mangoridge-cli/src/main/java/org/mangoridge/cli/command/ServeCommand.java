package org.mangoridge.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.entry.lifecycle.DrainPhase;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.routing.RoutingPolicies;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.settings.InstanceSettingsParser;
import org.mangoridge.settings.ini.Problem;
import sun.misc.Signal;

/** Runs an entry instance until it is told to stop. */
public final class ServeCommand implements Command {

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Run an entry instance.";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "settings", true, "the settings file of the instance");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String file = invocation.requiredOption("settings");
        Result<InstanceSettings, List<Problem>> settings;
        try {
            settings = InstanceSettingsParser.parse(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            invocation.err().println(file + ": can't be read: " + e.getMessage());
            return ExitCode.FAILED;
        }
        if (!settings.isOk()) {
            settings.error().forEach(problem -> invocation.err().println(problem));
            return ExitCode.FAILED;
        }
        SecureRandom seeds = new SecureRandom();
        EntryInstance instance = EntryInstance.start(
                settings.value(),
                RoutingPolicies.create(
                        PolicyName.CURRENT, settings.value().zone(), new SplittableRandom(seeds.nextLong())),
                SystemClock.instance(),
                seeds);
        invocation.out().println("callers at " + instance.callerAddress());
        invocation.out().println("peers at " + instance.peerAddress());
        invocation.out().println("operators at " + instance.operatorAddress());
        invocation.out().flush();
        drainOnSignal(instance, "TERM");
        drainOnSignal(instance, "INT");
        boolean whole = instance.drain().ended().join();
        instance.close();
        return whole ? ExitCode.DONE : ExitCode.FAILED;
    }

    /** The first signal shuts down once every request has finished, the next at once. */
    private static void drainOnSignal(EntryInstance instance, String name) {
        Signal.handle(new Signal(name), signal -> {
            if (instance.drain().phase() == DrainPhase.SERVING) {
                instance.drain().request("signal " + name);
            } else {
                instance.drain().force("signal " + name);
            }
        });
    }
}
