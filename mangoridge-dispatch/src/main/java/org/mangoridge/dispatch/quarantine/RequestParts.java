package org.mangoridge.dispatch.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangoridge.dispatch.request.RequestPart;

/**
 * What a request has in common with others: the shared parts of its prompt and its fingerprint.
 *
 * @param parts the parts in order; a deeper part is more specific than those before it
 */
public record RequestParts(List<RequestPart> parts) {

    public RequestParts {
        parts = List.copyOf(parts);
    }

    boolean contains(RequestPart part) {
        return parts.contains(part);
    }

    /** Returns the number of parts before a part that the request contains. */
    int depthOf(RequestPart part) {
        return parts.indexOf(part);
    }

    /** Returns the parts after a part that the request contains. */
    Set<RequestPart> deeperThan(RequestPart part) {
        return new HashSet<>(parts.subList(depthOf(part) + 1, parts.size()));
    }
}
