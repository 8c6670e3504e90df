package org.mangoridge.web;

/**
 * The JSON body of an error.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

    /**
     * What went wrong.
     *
     * @param code a stable code
     * @param message one sentence
     * @param verdict whether the request may have run, or null where that has no meaning
     * @param requestId the request's id, or null if it has none
     */
    public record Detail(String code, String message, String verdict, String requestId) {}

    /** Returns an error without verdict and request id. */
    public static ErrorBody of(String code, String message) {
        return new ErrorBody(new Detail(code, message, null, null));
    }
}
