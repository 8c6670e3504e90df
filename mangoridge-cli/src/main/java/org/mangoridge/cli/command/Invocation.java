package org.mangoridge.cli.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.mangoridge.core.net.HostPort;

/**
 * One run of a command.
 *
 * @param line the parsed options
 * @param out where results go
 * @param err where problems go
 */
public record Invocation(CommandLine line, PrintStream out, PrintStream err) {

    /** Returns the arguments after the options. */
    public List<String> arguments() {
        return line.getArgList();
    }

    /** Tells whether an option was given. */
    public boolean has(String option) {
        return line.hasOption(option);
    }

    /** Returns the value of an option, if given. */
    public Optional<String> option(String option) {
        return Optional.ofNullable(line.getOptionValue(option));
    }

    /**
     * Returns the value of an option that must be given.
     *
     * @throws UsageException if it is absent
     */
    public String requiredOption(String option) {
        return option(option).orElseThrow(() -> new UsageException("--" + option + " is missing"));
    }

    /**
     * Returns the address that an option must give.
     *
     * @throws UsageException if it is absent or wrong
     */
    public HostPort requiredAddress(String option) {
        try {
            return HostPort.parse(requiredOption(option));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--" + option + ": " + e.getMessage());
        }
    }

    /**
     * Returns the one argument.
     *
     * @throws UsageException if there is none or more
     */
    public String onlyArgument(String name) {
        if (arguments().size() != 1) {
            throw new UsageException("expected one " + name);
        }
        return arguments().get(0);
    }
}
