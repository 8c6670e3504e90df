package org.mangoridge.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears of one call to a server; called on the event loop, after {@link #completed} or {@link #failed} never again. */
public interface CallListener {

    /** A connection stands, the request is written next. */
    default void connected() {}

    /** The head of the answer came; returns false if the answer belongs to another request and is to be skipped. */
    boolean head(HttpResponse head);

    /** Part of the body came; {@code data} is valid during the call only. */
    void data(ByteBuf data);

    /** The whole answer came. */
    void completed();

    /** There will be no complete answer. */
    void failed(CallFailure failure);
}
