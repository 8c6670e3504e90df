package org.mangoridge.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * One request of a caller and the response to it; confined to the event loop.
 *
 * <p>Either {@link #respond} is called once, or {@link #startResponse}, then {@link #write} any number of times, then
 * {@link #finish} or {@link #abort}. A call out of this order aborts a response that has not ended, so that its caller
 * never receives parts of two responses. After the response has ended or the caller has disconnected, these methods have
 * no effect.
 */
public interface CallerExchange {

    /** Returns the request. */
    InboundRequest request();

    /** Returns whether a response has begun, so that no other one can be sent. */
    boolean responseStarted();

    /** Sends a complete response; takes over the reference to {@code body}. */
    void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of a response whose body follows in chunks. */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a part of the body; takes over the reference to {@code data}. */
    void write(ByteBuf data);

    /** Ends the response after its last part. */
    void finish();

    /** Closes the connection, which shows the caller that the response is incomplete. */
    void abort();

    /** Sets the listener that is called if the caller disconnects before the response is complete. */
    void onDisconnect(Runnable listener);

    /** Sets the listener that ends the response because the instance is about to stop; it is called at most once. */
    void onInstanceStop(Runnable listener);

    /** Sets the listener that is called with false when the send buffer is full and with true when it has drained. */
    void onWritabilityChange(java.util.function.Consumer<Boolean> listener);
}
