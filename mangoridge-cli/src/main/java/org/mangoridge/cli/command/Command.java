package org.mangoridge.cli.command;

import org.apache.commons.cli.Options;

/** One subcommand. */
public interface Command {

    /** Returns the word that selects it. */
    String name();

    /** Returns the arguments after the options, such as {@code DIR}, empty if there are none. */
    String arguments();

    /** Returns what it does, in one sentence. */
    String summary();

    /** Returns the options that it takes besides {@code --help}. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws UsageException if the arguments are wrong
     */
    ExitCode run(Invocation invocation);
}
