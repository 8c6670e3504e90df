package org.mangoridge.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.mangoridge.cli.command.ApplyCommand;
import org.mangoridge.cli.command.AuditCommand;
import org.mangoridge.cli.command.BenchCommand;
import org.mangoridge.cli.command.CallCommand;
import org.mangoridge.cli.command.CheckCommand;
import org.mangoridge.cli.command.ClaimsCommand;
import org.mangoridge.cli.command.Command;
import org.mangoridge.cli.command.DiffCommand;
import org.mangoridge.cli.command.DrainCommand;
import org.mangoridge.cli.command.ExitCode;
import org.mangoridge.cli.command.ExplainCommand;
import org.mangoridge.cli.command.Invocation;
import org.mangoridge.cli.command.KeyCommand;
import org.mangoridge.cli.command.NodeCommand;
import org.mangoridge.cli.command.ServeCommand;
import org.mangoridge.cli.command.StandInCommand;
import org.mangoridge.cli.command.StatusCommand;
import org.mangoridge.cli.command.TopCommand;
import org.mangoridge.cli.command.UsageException;
import org.mangoridge.cli.command.VersionCommand;
import org.mangoridge.cli.demo.DemoCommand;

/** Chooses and runs a command. */
public final class Main {

    private static final int HELP_WIDTH = 100;

    private final List<Command> commands;

    private Main(List<Command> commands) {
        this.commands = commands;
    }

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        Logs.install(Level.INFO);
        System.exit(create().run(args, System.out, System.err).code());
    }

    /** Returns a main with every command. */
    public static Main create() {
        return new Main(List.of(
                new ServeCommand(),
                new NodeCommand(),
                new ExplainCommand(),
                new CheckCommand(),
                new DiffCommand(),
                new ApplyCommand(),
                new StatusCommand(),
                new DrainCommand(),
                new AuditCommand(),
                new TopCommand(),
                new CallCommand(),
                new ClaimsCommand(),
                new KeyCommand(),
                new DemoCommand(),
                new BenchCommand(),
                new StandInCommand(),
                new VersionCommand()));
    }

    /** Runs the command line {@code args}. */
    public ExitCode run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printCommands(out);
            return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
        }
        Command command = commands.stream()
                .filter(candidate -> candidate.name().equals(args[0]))
                .findFirst()
                .orElse(null);
        if (command == null) {
            err.println("mangoridge: there is no command " + args[0] + "; see mangoridge --help");
            return ExitCode.USAGE;
        }
        return run(command, Arrays.copyOfRange(args, 1, args.length), out, err);
    }

    private static ExitCode run(Command command, String[] args, PrintStream out, PrintStream err) {
        Options options = command.options().addOption("h", "help", false, "print this help");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                printHelp(command, options, out);
                return ExitCode.DONE;
            }
            return command.run(new Invocation(line, out, err));
        } catch (ParseException | UsageException e) {
            err.println("mangoridge " + command.name() + ": " + e.getMessage() + "; see --help");
            return ExitCode.USAGE;
        }
    }

    private void printCommands(PrintStream out) {
        out.println("usage: mangoridge COMMAND [OPTIONS]");
        for (Command command : commands) {
            out.printf("  %-22s %s%n", (command.name() + " " + command.arguments()).trim(), command.summary());
        }
        out.println("Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.");
    }

    private static void printHelp(Command command, Options options, PrintStream out) {
        PrintWriter writer = new PrintWriter(out, true, StandardCharsets.UTF_8);
        String usage = ("mangoridge " + command.name() + " [OPTIONS] " + command.arguments()).trim();
        new HelpFormatter().printHelp(writer, HELP_WIDTH, usage, command.summary(), options, 2, 2, "");
        writer.flush();
    }
}
