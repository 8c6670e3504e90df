package org.mangoridge.cli.demo;

import org.apache.commons.cli.Options;
import org.mangoridge.cli.command.Command;
import org.mangoridge.cli.command.ExitCode;
import org.mangoridge.cli.command.Invocation;

/** Runs the whole path on embedded stand-ins and shows what callers and operators see. */
public final class DemoCommand implements Command {

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Run the whole path on embedded stand-ins.";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "once", false, "end after the requests instead of listening on");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        try (DemoSystem system = DemoSystem.start()) {
            boolean passed = new DemoScript(system, invocation.out()).run();
            if (passed && !invocation.has("once")) {
                invocation
                        .out()
                        .println("Callers connect to " + system.callerAddress() + " with the key "
                                + DemoSystem.COUNTER_KEY + "; end with Ctrl-C.");
                Thread.currentThread().join();
            }
            return passed ? ExitCode.DONE : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }
}
