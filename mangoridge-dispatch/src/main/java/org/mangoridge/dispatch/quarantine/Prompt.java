package org.mangoridge.dispatch.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangoridge.dispatch.request.PromptPart;

/**
 * The shared parts of one prompt.
 *
 * @param parts the parts in order; a deeper part is more specific than those before it
 */
public record Prompt(List<PromptPart> parts) {

    public Prompt {
        parts = List.copyOf(parts);
    }

    boolean contains(PromptPart part) {
        return parts.contains(part);
    }

    /** Returns the number of parts before a part that the prompt contains. */
    int depthOf(PromptPart part) {
        return parts.indexOf(part);
    }

    /** Returns the parts after a part that the prompt contains. */
    Set<PromptPart> deeperThan(PromptPart part) {
        return new HashSet<>(parts.subList(depthOf(part) + 1, parts.size()));
    }
}
