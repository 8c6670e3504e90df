package org.mangoridge.gateway.net;

import org.mangoridge.core.verdict.AttemptProgress;

/**
 * The reason why a call to a server has no complete response.
 *
 * @param progress how far the call had come
 * @param timedOut whether the server did not respond in time, as opposed to refusing or resetting the connection
 * @param detail a description of the failure for the log
 */
public record CallFailure(AttemptProgress progress, boolean timedOut, String detail) {

    /** Returns whether no connection could be opened in time, as when the network between both is cut. */
    public boolean isUnreachable() {
        return timedOut && progress == AttemptProgress.BEFORE_CONNECT;
    }
}
