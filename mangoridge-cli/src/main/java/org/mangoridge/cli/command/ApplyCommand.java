package org.mangoridge.cli.command;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.Options;
import org.mangoridge.config.ApplyId;
import org.mangoridge.config.ApplyOutcome;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.entry.config.ConfigMessages;
import org.mangoridge.http.Json;
import org.mangoridge.settings.deployment.MergedSections;

/** Publishes a folder, or asks what became of an earlier apply. */
public final class ApplyCommand implements Command {

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Publish DIR in one step, or with --ask find out what became of an earlier apply.";
    }

    @Override
    public Options options() {
        return OperatorClient.addOptions(new Options())
                .addOption(null, "base", true, "refuse unless this generation is in force, as diff printed it")
                .addOption(null, "id", true, "the apply id, to repeat an apply whose outcome is unknown")
                .addOption(null, "ask", true, "an apply id; nothing is published")
                .addOption(null, "wait", false, "wait until it is in force at every instance")
                .addOption(null, "json", false, "print JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        try (OperatorClient client = OperatorClient.of(invocation)) {
            return invocation.option("ask").isPresent() ? ask(invocation, client) : apply(invocation, client);
        }
    }

    private static ExitCode ask(Invocation invocation, OperatorClient client) {
        String id = checkedId(invocation.option("ask").get());
        Result<ApplyOutcome, OperatorClient.CallFailure> answer =
                client.post("/config/ask", new ConfigMessages.Ask(id), ApplyOutcome.class);
        ApplyOutcome outcome = answer.isOk()
                ? answer.value()
                : new ApplyOutcome.Unknown(id, answer.error().detail());
        return finish(invocation, client, outcome);
    }

    private static ExitCode apply(Invocation invocation, OperatorClient client) {
        Optional<MergedSections> merged = FolderReader.readOrPrint(invocation);
        if (merged.isEmpty()) {
            return ExitCode.FAILED;
        }
        String id = invocation.option("id").map(ApplyCommand::checkedId).orElseGet(() -> ApplyId.random(
                        new SecureRandom())
                .value());
        ConfigMessages.Apply message = new ConfigMessages.Apply(
                id,
                base(invocation),
                FolderReader.origin(invocation),
                merged.get().sections());
        Result<ApplyOutcome, OperatorClient.CallFailure> answer =
                client.post("/config/apply", message, ApplyOutcome.class);
        return finish(invocation, client, outcome(id, answer));
    }

    /** An apply that got no readable answer may have run. */
    private static ApplyOutcome outcome(String id, Result<ApplyOutcome, OperatorClient.CallFailure> answer) {
        if (answer.isOk()) {
            return answer.value();
        }
        String detail = answer.error().detail();
        return answer.error().isNotRun()
                ? new ApplyOutcome.Refused(id, List.of(detail))
                : new ApplyOutcome.Unknown(id, detail);
    }

    private static ExitCode finish(Invocation invocation, OperatorClient client, ApplyOutcome outcome) {
        if (invocation.has("json")) {
            invocation.out().println(Json.text(outcome));
        } else {
            ApplyPrinter.print(outcome, invocation.out());
        }
        return switch (outcome) {
            case ApplyOutcome.Accepted accepted -> await(invocation, client, accepted.generation());
            case ApplyOutcome.Unchanged unchanged -> await(invocation, client, unchanged.generation());
            case ApplyOutcome.Refused refused -> ExitCode.FAILED;
            case ApplyOutcome.Overtaken overtaken -> ExitCode.FAILED;
            case ApplyOutcome.Unknown unknown -> ExitCode.UNKNOWN;
        };
    }

    private static ExitCode await(Invocation invocation, OperatorClient client, long generation) {
        if (!invocation.has("wait")) {
            return ExitCode.DONE;
        }
        return new InForceWait(client, SystemClock.instance(), LONGEST_WAIT).await(generation, invocation.out())
                ? ExitCode.DONE
                : ExitCode.FAILED;
    }

    private static Long base(Invocation invocation) {
        try {
            return invocation.option("base").map(Long::valueOf).orElse(null);
        } catch (NumberFormatException e) {
            throw new UsageException("--base: expected a generation");
        }
    }

    private static String checkedId(String text) {
        try {
            return ApplyId.of(text).value();
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
