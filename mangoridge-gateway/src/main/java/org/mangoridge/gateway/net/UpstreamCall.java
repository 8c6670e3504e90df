package org.mangoridge.gateway.net;

import io.netty.channel.ChannelFuture;
import org.mangoridge.core.verdict.AttemptProgress;

/** A call to a server in progress; confined to one event loop. */
public final class UpstreamCall {

    private final CallListener listener;
    private UpstreamConnection connection;
    private ChannelFuture connecting;
    private boolean cancelled;

    UpstreamCall(CallListener listener) {
        this.listener = listener;
    }

    /** Cancels the call by closing its connection; its listener is not called any more. */
    public void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.cancel(listener);
        } else if (connecting != null) {
            connecting.cancel(false);
        }
    }

    /** Pauses or resumes reading the response. */
    public void setReading(boolean enabled) {
        if (connection != null && !cancelled) {
            connection.setReading(enabled);
        }
    }

    /** Returns the progress of the call. */
    public AttemptProgress progress() {
        return connection == null ? AttemptProgress.BEFORE_CONNECT : connection.progress();
    }

    /** Returns what the connection of the call had been used for before; that of a new one as long as there is none. */
    public ConnectionUse connectionUse() {
        return connection == null ? ConnectionUse.NEW : connection.use();
    }

    CallListener listener() {
        return listener;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void connecting(ChannelFuture future) {
        connecting = future;
    }

    void bind(UpstreamConnection bound) {
        connection = bound;
    }
}
