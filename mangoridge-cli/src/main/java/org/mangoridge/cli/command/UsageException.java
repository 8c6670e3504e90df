package org.mangoridge.cli.command;

/** Thrown when a command line is wrong; the message says how. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    public UsageException(String message) {
        super(message);
    }
}
