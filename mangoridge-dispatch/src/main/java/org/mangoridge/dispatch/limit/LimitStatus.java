package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.dispatch.directory.ServerRun;

/**
 * What an instance knows of the limit of one run of a server, as instances tell it to each other.
 *
 * @param run the run; a later run of the server does not inherit its limit
 * @param version increases with each change; of two statuses the one with the greater version is newer
 * @param limit the limit; empty if it ended
 * @param silence how long ago an answer of the run announced a limit, as far as the instance knows
 */
public record LimitStatus(ServerRun run, long version, Optional<RateLimit> limit, Duration silence) {

    public LimitStatus {
        Checks.notNull(run, "run");
        Checks.notNull(limit, "limit");
        Checks.argument(version > 0, "version must be positive: %d", version);
        Checks.argument(!silence.isNegative(), "silence must not be negative: %s", silence);
    }
}
