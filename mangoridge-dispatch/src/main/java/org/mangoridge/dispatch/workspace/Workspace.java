package org.mangoridge.dispatch.workspace;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.WorkspaceId;

/**
 * A group of callers that share API keys, a priority and a quota.
 *
 * @param id its id, which servers are told
 * @param keys the keys of its callers
 * @param priority the priority of its requests, 0 is the highest; empty if that of the route applies
 * @param quota what its requests may use; empty if that is not limited
 */
public record Workspace(WorkspaceId id, Set<ApiKey> keys, OptionalInt priority, Optional<Quota> quota) {

    public Workspace {
        Checks.notNull(id, "id");
        keys = Set.copyOf(keys);
        Checks.notNull(priority, "priority");
        Checks.notNull(quota, "quota");
    }
}
