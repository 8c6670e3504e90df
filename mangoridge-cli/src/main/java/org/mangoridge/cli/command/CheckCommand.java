package org.mangoridge.cli.command;

import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;
import org.mangoridge.settings.deployment.MergedSections;
import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.settings.ini.Problem;

/** Merges and checks a folder, and prints where each value came from. */
public final class CheckCommand implements Command {

    /** What is wrong with a folder, as {@code --json} prints it. */
    private record Problems(List<Problem> problems) {}

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Merge and check the files of DIR, and print where each value came from.";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "json", false, "print JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Path folder = Path.of(invocation.onlyArgument("DIR"));
        Result<MergedSections, List<Problem>> merged = FolderReader.read(folder);
        if (invocation.has("json")) {
            invocation.out().println(Json.text(merged.isOk() ? merged.value() : new Problems(merged.error())));
            return merged.isOk() ? ExitCode.DONE : ExitCode.FAILED;
        }
        if (!merged.isOk()) {
            return reject(invocation, merged.error());
        }
        merged.value().sections().forEach(section -> print(invocation, section));
        for (MergedSections.Replacement override : merged.value().overrides()) {
            invocation
                    .out()
                    .printf(
                            "override: [%s] %s: %s (%s) replaced %s (%s)%n",
                            override.heading(),
                            override.later().key(),
                            override.later().value(),
                            override.later().origin(),
                            override.earlier().value(),
                            override.earlier().origin());
        }
        return ExitCode.DONE;
    }

    private static ExitCode reject(Invocation invocation, List<Problem> problems) {
        problems.forEach(problem -> invocation.err().println(problem));
        return ExitCode.FAILED;
    }

    private static void print(Invocation invocation, IniSection section) {
        invocation.out().println("[" + section.heading() + "]");
        for (IniEntry entry : section.entries()) {
            invocation.out().printf("%-50s ; %s%n", entry.key() + " = " + entry.value(), entry.origin());
        }
        invocation.out().println();
    }
}
