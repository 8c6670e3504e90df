package org.mangoridge.dispatch.request;

import org.mangoridge.core.Checks;

/**
 * Identifies a part of a prompt, which other prompts may contain too, or a whole request.
 *
 * @param value the id as the caller writes it, never blank
 */
public record RequestPart(String value) {

    public RequestPart {
        Checks.notBlank(value, "request part");
    }

    /** Returns the id written as {@code value}. */
    public static RequestPart of(String value) {
        return new RequestPart(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
