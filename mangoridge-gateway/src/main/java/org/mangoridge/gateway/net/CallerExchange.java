package org.mangoridge.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The answer to one request of a caller; used on the event loop.
 *
 * <p>Either {@link #respond} is called once, or {@link #startResponse}, then any {@link #write}, then {@link #finish} or
 * {@link #abort}. After the caller has gone, all of them do nothing.
 */
public interface CallerExchange {

    /** Returns the request. */
    InboundRequest request();

    /** Sends a whole answer. */
    void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of an answer whose body follows. */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /** Sends part of a body; takes over the reference to {@code data}. */
    void write(ByteBuf data);

    /** Ends a body that is complete. */
    void finish();

    /** Closes the connection so that the caller sees that the answer is not complete. */
    void abort();

    /** Names what is told when the caller goes before the answer is complete. */
    void onDisconnect(Runnable listener);

    /** Names what is told when the caller takes data more slowly than it comes (false) and when it caught up (true). */
    void onWritabilityChange(java.util.function.Consumer<Boolean> listener);
}
