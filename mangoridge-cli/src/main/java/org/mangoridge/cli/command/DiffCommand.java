package org.mangoridge.cli.command;

import java.util.Optional;

import org.apache.commons.cli.Options;
import org.mangoridge.config.Publisher;
import org.mangoridge.core.Result;
import org.mangoridge.entry.config.ConfigMessages;
import org.mangoridge.http.Json;
import org.mangoridge.settings.deployment.MergedSections;

/** Prints what applying a folder would change. */
public final class DiffCommand implements Command {

    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Print what applying DIR would change, key by key.";
    }

    @Override
    public Options options() {
        return OperatorClient.addOptions(new Options()).addOption(null, "json", false, "print JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Optional<MergedSections> merged = FolderReader.readOrPrint(invocation);
        if (merged.isEmpty()) {
            return ExitCode.FAILED;
        }
        ConfigMessages.Apply message =
                new ConfigMessages.Apply(null, null, "", merged.get().sections());
        try (OperatorClient client = OperatorClient.of(invocation)) {
            Result<Publisher.Difference, OperatorClient.CallFailure> answer =
                    client.post("/config/diff", message, Publisher.Difference.class);
            if (!answer.isOk()) {
                invocation.err().println(answer.error().detail());
                return ExitCode.FAILED;
            }
            print(invocation, answer.value());
            return ExitCode.DONE;
        }
    }

    private static void print(Invocation invocation, Publisher.Difference difference) {
        if (invocation.has("json")) {
            invocation.out().println(Json.text(difference));
            return;
        }
        difference.changes().forEach(invocation.out()::println);
        invocation
                .out()
                .printf(
                        "%d keys differ from generation %d%n",
                        difference.changes().size(), difference.generation());
    }
}
