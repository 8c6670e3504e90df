package org.mangoridge.gateway.request;

import java.util.Optional;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;

/**
 * What the head of a server's answer says.
 *
 * @param status the HTTP status
 * @param notRun whether the server states that it did not run the request
 * @param misdirected whether the server rejected the request as not meant for it or for its stage
 * @param answeredBy the server that answered, if it says so
 * @param signed whether the answer carries the server's signature
 * @param encoded whether the body is not the server's plain body
 * @param request the request that the answer names
 */
public record ServerReply(
        int status,
        boolean notRun,
        boolean misdirected,
        Optional<ServerId> answeredBy,
        boolean signed,
        boolean encoded,
        Optional<RequestId> request) {

    private static final int FIRST_SUCCESS = 200;
    private static final int AFTER_SUCCESS = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** Tells whether the answer is a success that may be passed on. */
    public boolean isProperSuccess() {
        return status >= FIRST_SUCCESS && status < AFTER_SUCCESS && signed && !encoded;
    }

    /** Tells whether the answer claims a success without being the server's own. */
    public boolean isForgedSuccess() {
        return status >= FIRST_SUCCESS && status < AFTER_SUCCESS && !isProperSuccess();
    }

    /** Tells whether the server failed while it ran the request. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Tells whether the request certainly did not run at the server. */
    public boolean didNotRun() {
        return notRun || misdirected;
    }

    /** Tells whether the server had no room for the request, or could not get the KV cache that it needs. */
    public boolean isFull() {
        return notRun && status == UNAVAILABLE;
    }

    /** Tells whether another server than {@code meant} has its address now. */
    public boolean isFromOtherThan(ServerId meant) {
        return misdirected && answeredBy.isPresent() && !answeredBy.get().equals(meant);
    }
}
