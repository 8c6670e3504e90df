package org.mangoridge.dispatch.request;

import org.mangoridge.core.Checks;

/**
 * Identifies a part of a prompt, which other prompts may contain too.
 *
 * @param value the id as the caller writes it, never blank
 */
public record PromptPart(String value) {

    public PromptPart {
        Checks.notBlank(value, "prompt part");
    }

    /** Returns the id written as {@code value}. */
    public static PromptPart of(String value) {
        return new PromptPart(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
