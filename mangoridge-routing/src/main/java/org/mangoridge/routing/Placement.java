package org.mangoridge.routing;

import org.mangoridge.core.id.ServerId;

/**
 * The servers of one attempt.
 *
 * @param prefill the server that computes the KV cache; the same as {@code decode} if no transfer is needed
 * @param decode the server that generates the tokens
 * @param reserveFirst whether a decode slot is reserved before prefill begins
 * @param priority the priority passed to the engines, which serve higher values first
 * @param timeouts the timeouts of its stages
 */
public record Placement(ServerId prefill, ServerId decode, boolean reserveFirst, int priority, StageTimeouts timeouts) {

    /** Returns whether the KV cache is transferred between servers. */
    public boolean needsTransfer() {
        return !prefill.equals(decode);
    }
}
