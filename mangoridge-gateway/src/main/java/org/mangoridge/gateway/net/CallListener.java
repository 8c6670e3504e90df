package org.mangoridge.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.verdict.AttemptProgress;

/** Receives the events of one call to a server on the event loop; {@link #completed} or {@link #failed} is the last. */
public interface CallListener {

    /** Called when a connection is established and the request is written next. */
    default void connected() {}

    /** Called if a response that names another request was dropped; the response to the call may follow. */
    default void foreignAnswerDropped() {}

    /** Called with the head of the response, which names the request of the call or none. */
    void head(HttpResponse head);

    /** Called with a part of the response body; {@code data} is valid during this method call only. */
    void data(ByteBuf data);

    /** Called when the response is complete. */
    void completed();

    /** Called when the call failed; there will be no complete response. */
    void failed(CallFailure failure);

    /** Called if another method of this listener, or the reading of its arguments, has thrown; ends the call. */
    default void broken(RuntimeException error) {
        failed(new CallFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, false, "internal error: " + error));
    }
}
