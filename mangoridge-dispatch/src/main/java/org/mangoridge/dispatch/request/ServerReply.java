package org.mangoridge.dispatch.request;

import java.util.Optional;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;

/**
 * The status and headers of a server's response that the gateway evaluates.
 *
 * @param status the HTTP status
 * @param notRun whether the server states that it did not execute the request
 * @param misdirected whether the server rejected the request as meant for another server or stage (status 421)
 * @param answeredBy the server that responded; empty if the response does not name it
 * @param signed whether the response carries the server's signature
 * @param encoded whether the body has a content encoding, so that it is not the original body of the server
 * @param request the id of the request that the response belongs to; empty if the response does not name it
 */
public record ServerReply(
        int status,
        boolean notRun,
        boolean misdirected,
        Optional<ServerId> answeredBy,
        boolean signed,
        boolean encoded,
        Optional<RequestId> request) {

    private static final int MIN_SUCCESS = 200;
    private static final int MIN_REDIRECT = 300;
    private static final int MIN_SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Returns whether the response is a signed, unmodified success that may be forwarded to the caller. */
    public boolean isVerifiedSuccess() {
        return status >= MIN_SUCCESS && status < MIN_REDIRECT && signed && !encoded;
    }

    /** Returns whether the response has a success status but does not provably come from the server unmodified. */
    public boolean isUnverifiedSuccess() {
        return status >= MIN_SUCCESS && status < MIN_REDIRECT && !isVerifiedSuccess();
    }

    /** Returns whether the response has a server error status (5xx). */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR;
    }

    /**
     * Returns whether the server certainly did not execute the request.
     *
     * <p>A statement that does not name the request may be a late copy of the answer to another call. Status 421 can't be
     * one: without the name of the request it is only accepted on a connection that carried no other call.
     */
    public boolean didNotRun() {
        return (notRun && request.isPresent()) || misdirected;
    }

    /** Returns whether the server turned the request away, whether or not it states that it did not execute it. */
    public boolean isRejection() {
        return status == UNAVAILABLE || status == TOO_MANY_REQUESTS || didNotRun();
    }

    /** Returns whether the server had no capacity for the request, or could not import the KV cache that it needs. */
    public boolean isUnavailable() {
        return notRun && status == UNAVAILABLE;
    }

    /** Returns whether a server other than {@code expected} has taken over its address. */
    public boolean isFromOtherServer(ServerId expected) {
        return misdirected && answeredBy.isPresent() && !answeredBy.get().equals(expected);
    }
}
