package org.mangoridge.dispatch.request;

import org.mangoridge.core.Checks;

/**
 * Identifies a part of a prompt, which other prompts may contain too, or a whole request.
 *
 * @param value the id as the caller writes it, never blank
 */
public record RequestPart(String value) {

    /** Separates the outline of a request from its hash; ids of parts of prompts do not contain it. */
    private static final char SEPARATOR = ':';

    public RequestPart {
        Checks.notBlank(value, "request part");
    }

    /** Returns the id written as {@code value}. */
    public static RequestPart of(String value) {
        return new RequestPart(value);
    }

    /**
     * Returns the part that stands for a whole request.
     *
     * @param outline what few other requests share with it, without a colon
     * @param hash tells it from those
     */
    public static RequestPart ofRequest(String outline, String hash) {
        return new RequestPart(outline + SEPARATOR + hash);
    }

    /** Returns the outline of the request that this part stands for; empty for a part of a prompt. */
    public String outline() {
        int end = value.indexOf(SEPARATOR);
        return end < 0 ? "" : value.substring(0, end);
    }

    @Override
    public String toString() {
        return value;
    }
}
