package org.mangoridge.objects;

/** What became of a conditional write. */
public sealed interface WriteOutcome {

    /**
     * The write took effect.
     *
     * @param version the object's new version
     */
    record Written(long version) implements WriteOutcome {}

    /** The condition did not hold; nothing was written. */
    record Conflict() implements WriteOutcome {}

    /**
     * The write did not take effect and will not.
     *
     * @param detail why
     */
    record NotWritten(String detail) implements WriteOutcome {}

    /**
     * The write may have taken effect, or may yet.
     *
     * @param detail why it is not known
     */
    record Unknown(String detail) implements WriteOutcome {}
}
