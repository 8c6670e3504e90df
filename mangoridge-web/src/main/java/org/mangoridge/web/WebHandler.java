package org.mangoridge.web;

/** Answers requests; called on a virtual thread of its own for each, may block. */
@FunctionalInterface
public interface WebHandler {

    /** The status of a request whose body is too large. */
    int TOO_LARGE_STATUS = 413;

    /**
     * Returns the answer to a request whose body is larger than {@code maxBodyBytes}; must not block.
     *
     * @param head the request with an empty body
     */
    default WebReply rejectOversizedBody(WebRequest head, int maxBodyBytes) {
        String detail = "the body may have at most " + maxBodyBytes + " bytes";
        return WebReply.json(TOO_LARGE_STATUS, ErrorBody.of("body_too_large", detail));
    }

    /** Returns the answer to {@code request}. */
    WebReply handle(WebRequest request);
}
