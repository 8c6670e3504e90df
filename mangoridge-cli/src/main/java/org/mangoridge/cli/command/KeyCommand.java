package org.mangoridge.cli.command;

import java.security.SecureRandom;
import java.util.HexFormat;

import org.apache.commons.cli.Options;
import org.mangoridge.settings.deployment.KeyHash;

/** Makes a new key for a caller or operator and the hash that the configuration holds. */
public final class KeyCommand implements Command {

    private static final int SALT_BYTES = 8;
    private static final int SECRET_BYTES = 24;

    @Override
    public String name() {
        return "key";
    }

    @Override
    public String arguments() {
        return "NAME";
    }

    @Override
    public String summary() {
        return "Make a key for the caller or operator NAME, and its hash for the configuration.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String name = invocation.onlyArgument("NAME");
        if (name.indexOf('.') >= 0) {
            throw new UsageException("NAME must not hold a dot: " + name);
        }
        SecureRandom random = new SecureRandom();
        byte[] salt = new byte[SALT_BYTES];
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(salt);
        random.nextBytes(secret);
        String text = HexFormat.of().formatHex(secret);
        invocation.out().println("key = " + name + "." + text);
        invocation.out().println("key-hash = " + KeyHash.of(salt, text));
        return ExitCode.DONE;
    }
}
