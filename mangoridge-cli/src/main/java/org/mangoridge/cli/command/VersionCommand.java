package org.mangoridge.cli.command;

import org.apache.commons.cli.Options;

/** Prints the version. */
public final class VersionCommand implements Command {

    private static final String VERSION = "0.1.0";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Print the version.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(Invocation invocation) {
        invocation.out().println("mangoridge " + VERSION);
        return ExitCode.DONE;
    }
}
