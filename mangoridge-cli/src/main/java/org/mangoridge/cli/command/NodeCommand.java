package org.mangoridge.cli.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

import org.apache.commons.cli.Options;
import org.mangoridge.adapter.CdsTrainingRun;
import org.mangoridge.adapter.PlatformNode;

/** Runs an entry instance on the users' platform. */
public final class NodeCommand implements Command {

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Run an entry instance on the users' platform.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "rehearse", false, "serve a few requests on loopback and end; used by the build")
                .addOption(
                        null,
                        "settings",
                        true,
                        "the settings file that the platform wrote; else $" + PlatformNode.SETTINGS_VARIABLE);
    }

    @Override
    public ExitCode run(Invocation invocation) {
        if (invocation.has("rehearse")) {
            return rehearse(invocation);
        }
        Optional<String> file = invocation
                .option("settings")
                .or(() -> Optional.ofNullable(System.getenv(PlatformNode.SETTINGS_VARIABLE)));
        if (file.isEmpty()) {
            throw new UsageException("--settings is missing and " + PlatformNode.SETTINGS_VARIABLE + " is not set");
        }
        try {
            return PlatformNode.run(Path.of(file.get()), invocation.err()) ? ExitCode.DONE : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private static ExitCode rehearse(Invocation invocation) {
        try {
            CdsTrainingRun.run();
            return ExitCode.DONE;
        } catch (IOException e) {
            invocation.err().println("mangoridge: rehearsal failed: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }
}
