package org.mangoridge.dispatch.directory;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * A run of a server that has said in an answer that it leaves.
 *
 * @param run the run
 * @param age how long ago it was first heard to say so
 */
public record LeavingRun(ServerRun run, Duration age) {

    public LeavingRun {
        Checks.notNull(run, "run");
        Checks.argument(!age.isNegative(), "age must not be negative: %s", age);
    }
}
