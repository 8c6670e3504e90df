package org.mangoridge.http;

import java.nio.charset.StandardCharsets;

/**
 * A complete answer to an HTTP call.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body; empty if there is none
 */
public record HttpAnswer(int status, Headers headers, byte[] body) {

    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int FIRST_REDIRECT_STATUS = 300;

    /** Tells whether the status is in the 2xx range. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
