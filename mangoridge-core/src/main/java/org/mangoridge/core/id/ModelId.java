package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies a model that an engine serves.
 *
 * @param value the id as written, never blank
 */
public record ModelId(String value) implements Comparable<ModelId> {

    public ModelId {
        Checks.notBlank(value, "model id");
    }

    /** Returns the id written as {@code value}. */
    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
