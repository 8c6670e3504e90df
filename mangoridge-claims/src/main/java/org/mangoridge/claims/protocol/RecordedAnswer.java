package org.mangoridge.claims.protocol;

import org.mangoridge.core.Checks;

/**
 * The outcome of a call that ran.
 *
 * @param kept whether the answer is stored; if not, only the fact that the call ran is
 * @param status the HTTP status, 0 if not kept
 * @param contentType the media type of the body, empty if not kept
 * @param body the complete body, empty if not kept
 */
public record RecordedAnswer(boolean kept, int status, String contentType, byte[] body) {

    public RecordedAnswer {
        Checks.notNull(contentType, "content type");
        Checks.notNull(body, "body");
    }

    /** Returns an outcome with the complete answer. */
    public static RecordedAnswer of(int status, String contentType, byte[] body) {
        return new RecordedAnswer(true, status, contentType, body);
    }

    /** Returns the outcome of a call that ran and whose answer is not stored. */
    public static RecordedAnswer notKept() {
        return new RecordedAnswer(false, 0, "", new byte[0]);
    }

    /** Returns this outcome, without the answer if its body is larger than {@code limitBytes}. */
    public RecordedAnswer within(int limitBytes) {
        return body.length <= limitBytes ? this : notKept();
    }
}
