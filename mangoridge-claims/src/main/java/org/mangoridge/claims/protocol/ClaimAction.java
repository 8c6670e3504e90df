package org.mangoridge.claims.protocol;

/** What a {@link ClaimMachine} wants done next; each but {@link Done} is answered by one {@link ClaimEvent}. */
public sealed interface ClaimAction {

    /**
     * Write the claim object on condition.
     *
     * @param expected the version that it must have, 0 if it must not exist
     * @param value what to write
     */
    record Write(long expected, Claim value) implements ClaimAction {}

    /** Read the claim object. */
    record Read() implements ClaimAction {}

    /** Send the call to a backend server, once. */
    record Dispatch() implements ClaimAction {}

    /**
     * Tell the caller; what follows goes on in the background.
     *
     * @param result what to tell
     */
    record Reply(ClaimResult result) implements ClaimAction {}

    /**
     * Wait before trying the platform again.
     *
     * @param failures how many tries have failed
     */
    record BackOff(int failures) implements ClaimAction {}

    /**
     * The end.
     *
     * @param complete false if the platform could not be told the end of the attempt, so that its claim may be stuck
     */
    record Done(boolean complete) implements ClaimAction {}
}
