package org.mangoridge.gateway.request;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;

/**
 * How requests and answers are spelled between callers, this instance and servers.
 *
 * <p>The names of header fields and of bodies' fields are known to its implementations only. Used by one thread.
 */
public interface WireDialect {

    /** Reads what a caller says of its request; the failure is one sentence for the caller. */
    Result<CallerRequest, String> readRequest(HttpHeaders headers);

    /** Removes what only this instance may say to a server from the headers of a caller. */
    void removeReserved(HttpHeaders headers);

    /** Tells whether a header must reach the server even where a caller names it in its connection header. */
    boolean isEndToEnd(String name);

    /** Adds what this instance says to the server. */
    void writeAttempt(HttpHeaders headers, Attempt attempt);

    /** Reads the head of a server's answer. */
    ServerReply readReply(HttpResponse head);

    /** Reads the body of a prefill server's answer; empty if it is not one. */
    Optional<PrefillAnswer> readPrefill(byte[] body);

    /** Adds the id of the request to an answer of this instance's own. */
    void writeOwnAnswer(HttpHeaders headers, RequestId id);

    /** Returns the path, with the method POST, that asks a server to keep room. */
    String roomPath();

    /**
     * Adds what a server must be told with a request to keep room, and returns the body.
     *
     * @param tokens the KV cache to keep room for; a slot is kept too
     * @param time how long to keep it
     */
    byte[] writeRoomRequest(HttpHeaders headers, ServerId server, int tokens, Duration time);

    /** Reads the name of the room that a server keeps; empty if the body names none. */
    Optional<String> readRoom(byte[] body);

    /** Returns the path, with the method DELETE, that gives room back. */
    String returnRoomPath(String room);

    /** Returns the path, with the method DELETE, that frees KV cache which nobody will take. */
    String releasePath(String handle);
}
