package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies the workspace that a caller belongs to.
 *
 * @param value the id as written, never blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    public WorkspaceId {
        Checks.notBlank(value, "workspace id");
    }

    /** Returns the id written as {@code value}. */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
