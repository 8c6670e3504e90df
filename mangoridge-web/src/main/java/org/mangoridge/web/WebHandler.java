package org.mangoridge.web;

/** Answers requests. Each request is handled on a virtual thread of its own, which may block. */
@FunctionalInterface
public interface WebHandler {

    /** The HTTP status of a reply to a request whose body is too large. */
    int CONTENT_TOO_LARGE_STATUS = 413;

    /**
     * Returns the reply to a request whose body is larger than {@code maxBodyBytes}.
     *
     * <p>Runs on an event loop thread, so it must not block.
     *
     * @param head the request, with an empty body in place of its own
     */
    default WebReply rejectOversizedBody(WebRequest head, int maxBodyBytes) {
        String detail = "the body may have at most " + maxBodyBytes + " bytes";
        return WebReply.json(CONTENT_TOO_LARGE_STATUS, ErrorBody.of("body_too_large", detail));
    }

    /** Returns the reply to {@code request}. */
    WebReply handle(WebRequest request);
}
