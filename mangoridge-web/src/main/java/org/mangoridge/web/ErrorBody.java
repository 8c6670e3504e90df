package org.mangoridge.web;

/**
 * The JSON body of an error reply.
 *
 * @param error the details of the error
 */
public record ErrorBody(Detail error) {

    /**
     * The details of an error.
     *
     * @param code a stable code for programs
     * @param message a description for people, in one sentence
     * @param verdict whether the request may have run, or null where that has no meaning
     * @param requestId the request's id, or null if it has none
     */
    public record Detail(String code, String message, String verdict, String requestId) {}

    /** Returns an error body without verdict and request id. */
    public static ErrorBody of(String code, String message) {
        return new ErrorBody(new Detail(code, message, null, null));
    }
}
