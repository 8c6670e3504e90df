package org.mangoridge.routing;

import org.mangoridge.core.id.ServerId;

/**
 * The servers of one attempt.
 *
 * @param prefill computes KV cache; the same as {@code decode} if no transfer is needed
 * @param decode generates tokens
 * @param reserveFirst whether a decode slot is reserved before prefill begins
 * @param priority the priority given to the engines, greater is served first
 * @param timeouts how long its stages may take
 */
public record Placement(ServerId prefill, ServerId decode, boolean reserveFirst, int priority, StageTimeouts timeouts) {

    /** Tells whether KV cache moves between servers. */
    public boolean needsTransfer() {
        return !prefill.equals(decode);
    }
}
