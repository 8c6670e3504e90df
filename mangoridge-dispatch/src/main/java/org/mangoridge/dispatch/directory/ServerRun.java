package org.mangoridge.dispatch.directory;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServerId;

/**
 * One run of a backend server, which may start again under the same id.
 *
 * @param server the id of the server
 * @param startedMillis when the run started, as Unix milliseconds
 */
public record ServerRun(ServerId server, long startedMillis) {

    public ServerRun {
        Checks.notNull(server, "server");
    }

    /** Returns the run that an entry describes. */
    public static ServerRun of(ServerEntry entry) {
        return new ServerRun(entry.id(), entry.startedMillis());
    }
}
