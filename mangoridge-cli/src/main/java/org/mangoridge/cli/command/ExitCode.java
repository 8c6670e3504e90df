package org.mangoridge.cli.command;

/** The exit codes of every command. */
public enum ExitCode {
    /** The command did what it was asked. */
    DONE(0),
    /** The command was refused or failed. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** What became of the command is not known; it may have taken effect. */
    UNKNOWN(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number that the process ends with. */
    public int code() {
        return code;
    }
}
