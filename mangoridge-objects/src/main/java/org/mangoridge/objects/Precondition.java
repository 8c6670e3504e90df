package org.mangoridge.objects;

/** The condition under which a write takes effect. */
public sealed interface Precondition {

    /** The object does not exist. */
    record Absent() implements Precondition {}

    /**
     * The object still has the version that the writer has read.
     *
     * @param version the version
     */
    record AtVersion(long version) implements Precondition {}

    /** Returns the condition that the object does not exist. */
    static Precondition absent() {
        return new Absent();
    }

    /** Returns the condition that the object has {@code version}. */
    static Precondition atVersion(long version) {
        return new AtVersion(version);
    }
}
