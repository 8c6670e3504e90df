package org.mangoridge.dispatch.workspace;

import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.WorkspaceId;

/** On whose behalf a request is served, by the configuration under which it was accepted. */
public sealed interface CallerAccess {

    /** The configuration has no workspaces; keys and names of workspaces mean nothing to the gateway. */
    record Unmanaged() implements CallerAccess {}

    /** The route is open to callers without a key, and the caller showed none that is known. */
    record Anonymous() implements CallerAccess {}

    /**
     * The caller showed a key of a workspace.
     *
     * @param workspace the workspace that holds the key
     */
    record Member(Workspace workspace) implements CallerAccess {

        public Member {
            Checks.notNull(workspace, "workspace");
        }
    }

    /** Returns the workspace whose key the caller showed; empty if there is none. */
    default Optional<Workspace> membership() {
        return this instanceof Member member ? Optional.of(member.workspace()) : Optional.empty();
    }

    /** Returns the id of that workspace. */
    default Optional<WorkspaceId> workspaceId() {
        return membership().map(Workspace::id);
    }
}
