package org.mangoridge.gateway.net;

import io.netty.channel.ChannelFuture;
import org.mangoridge.core.verdict.AttemptProgress;

/** A call to a server in progress; used on one event loop. */
public final class UpstreamCall {

    private final CallListener listener;
    private UpstreamConnection connection;
    private ChannelFuture connecting;
    private boolean cancelled;

    UpstreamCall(CallListener listener) {
        this.listener = listener;
    }

    /** Gives the call up; its listener hears nothing more. The server sees its connection close. */
    public void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.cancel(listener);
        } else if (connecting != null) {
            connecting.cancel(false);
        }
    }

    /** Stops or goes on reading the answer. */
    public void setReading(boolean on) {
        if (connection != null && !cancelled) {
            connection.reading(on);
        }
    }

    /** Returns how far the call has come. */
    public AttemptProgress progress() {
        return connection == null ? AttemptProgress.BEFORE_CONNECT : connection.progress();
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
