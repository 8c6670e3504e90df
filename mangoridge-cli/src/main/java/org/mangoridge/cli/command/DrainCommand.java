package org.mangoridge.cli.command;

import java.util.Map;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.entry.lifecycle.DrainEndpoint;

/** Shuts an instance down without cutting a request; it ends by itself. */
public final class DrainCommand implements Command {

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Shut an instance down once its requests have finished.";
    }

    @Override
    public Options options() {
        return OperatorClient.addOptions(new Options())
                .addOption(null, "show", false, "only print how far a shutdown is");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        try (OperatorClient client = OperatorClient.of(invocation)) {
            Result<DrainEndpoint.Progress, OperatorClient.CallFailure> progress = invocation.has("show")
                    ? client.get(DrainEndpoint.PATH, DrainEndpoint.Progress.class)
                    : client.post(DrainEndpoint.PATH, Map.of(), DrainEndpoint.Progress.class);
            if (!progress.isOk()) {
                invocation.err().println("mangoridge drain: " + progress.error().detail());
                return ExitCode.FAILED;
            }
            invocation
                    .out()
                    .println("phase " + progress.value().phase() + ", requests in progress "
                            + progress.value().openRequests());
            return ExitCode.DONE;
        }
    }
}
