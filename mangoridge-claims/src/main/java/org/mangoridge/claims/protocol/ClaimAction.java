package org.mangoridge.claims.protocol;

/** The next action of a {@link ClaimMachine}; each but {@link Done} is answered by one {@link ClaimEvent}. */
public sealed interface ClaimAction {

    /**
     * Write the claim object if it has the expected version.
     *
     * @param expected the version that the object must have, 0 if it must not exist
     * @param value the claim to write
     */
    record Write(long expected, Claim value) implements ClaimAction {}

    /** Read the claim object. */
    record Read() implements ClaimAction {}

    /** Send the call to a backend server, once. */
    record Dispatch() implements ClaimAction {}

    /**
     * Reply to the caller; the actions that follow run in the background.
     *
     * @param result the result to report
     */
    record Reply(ClaimResult result) implements ClaimAction {}

    /**
     * Wait before the platform is called again.
     *
     * @param failures how many calls in the background have failed, at least 1
     */
    record BackOff(int failures) implements ClaimAction {}

    /**
     * Do nothing more.
     *
     * @param complete false if the end of the attempt could not be written, so that its claim may be stuck
     */
    record Done(boolean complete) implements ClaimAction {}
}
