package org.mangoridge.objects;

/** The outcome of a conditional write. */
public sealed interface WriteOutcome {

    /**
     * The write took effect.
     *
     * @param version the object's new version
     */
    record Written(long version) implements WriteOutcome {}

    /** The precondition did not hold; nothing was written. */
    record Conflict() implements WriteOutcome {}

    /**
     * The write was not executed and will not be.
     *
     * @param detail why the write was not executed
     */
    record NotWritten(String detail) implements WriteOutcome {}

    /**
     * The write may have taken effect, or may yet.
     *
     * @param detail why the outcome is not known
     */
    record Unknown(String detail) implements WriteOutcome {}
}
