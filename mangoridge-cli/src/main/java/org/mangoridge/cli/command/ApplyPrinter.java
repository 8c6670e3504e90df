package org.mangoridge.cli.command;

import java.io.PrintStream;

import org.mangoridge.config.ApplyOutcome;
import org.mangoridge.config.ConcurrentChange;

/** Prints what became of an apply. */
final class ApplyPrinter {

    private ApplyPrinter() {}

    static void print(ApplyOutcome outcome, PrintStream out) {
        switch (outcome) {
            case ApplyOutcome.Accepted accepted -> {
                accepted.changes().forEach(out::println);
                out.printf("accepted: generation %d, apply %s%n", accepted.generation(), accepted.id());
            }
            case ApplyOutcome.Unchanged unchanged ->
                out.printf("unchanged: generation %d says the same%n", unchanged.generation());
            case ApplyOutcome.Refused refused -> {
                refused.problems().forEach(out::println);
                out.printf("refused: apply %s published nothing%n", refused.id());
            }
            case ApplyOutcome.Overtaken overtaken -> {
                overtaken.since().forEach(change -> print(change, out));
                out.printf(
                        "refused: apply %s published nothing; generation %d is in force, merge it and apply again%n",
                        overtaken.id(), overtaken.generation());
            }
            case ApplyOutcome.Unknown unknown ->
                out.printf("unknown: %s; ask again with mangoridge apply --ask %s%n", unknown.detail(), unknown.id());
        }
    }

    private static void print(ConcurrentChange change, PrintStream out) {
        out.printf(
                "generation %d by %s at %s, apply %s:%n",
                change.generation(), change.operator(), change.at(), change.applyId());
        change.changes().forEach(key -> out.println("  " + key));
    }
}
