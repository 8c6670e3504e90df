package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.limit.RateLimit;
import org.mangoridge.dispatch.request.Attempt;
import org.mangoridge.dispatch.request.CallerRequest;
import org.mangoridge.dispatch.request.PrefillResponse;
import org.mangoridge.dispatch.request.ServerReply;

/**
 * Translates between HTTP messages and the gateway's model of requests and responses.
 *
 * <p>Only implementations know the names of header and body fields. Not thread-safe.
 */
public interface WireDialect {

    /** Reads the metadata of a caller's request; the error is one sentence that is returned to the caller. */
    Result<CallerRequest, String> readRequest(HttpHeaders headers);

    /** Removes the headers that only the gateway may send to a server, so that callers cannot set them. */
    void removeReservedHeaders(HttpHeaders headers);

    /** Returns whether a header must be forwarded even if the {@code Connection} header lists it. */
    boolean isEndToEnd(String name);

    /** Adds the headers that describe an attempt to the server. */
    void writeAttempt(HttpHeaders headers, Attempt attempt);

    /** Reads the status and headers of a server's response. */
    ServerReply readReply(HttpResponse head);

    /**
     * Reads the rate that a server announces in an answer; empty if it announces none.
     *
     * <p>The error is one sentence for the log.
     */
    Result<Optional<RateLimit>, String> readAnnouncedLimit(HttpHeaders headers);

    /**
     * Reads for how long a server that answers 503 wants no requests; empty if it does not say so.
     *
     * <p>The error is one sentence for the log.
     */
    Result<Optional<Duration>, String> readRequestedPause(HttpResponse head);

    /** Returns whether the server that answers says that it leaves. */
    boolean announcesLeaving(HttpHeaders headers);

    /** Reads the body of a prefill server's response; empty if the body is malformed. */
    Optional<PrefillResponse> readPrefillResponse(byte[] body);

    /** Adds the request id to a response that the gateway itself generates. */
    void writeRequestId(HttpHeaders headers, RequestId id);

    /** Returns the path to which a reservation request is sent with POST. */
    String reservationPath();

    /**
     * Adds the headers of a reservation request and returns its body.
     *
     * @param tokens the size of the KV cache to reserve, in tokens; one slot is reserved as well
     * @param duration how long the server keeps the reservation
     */
    byte[] writeReservationRequest(HttpHeaders headers, ServerId server, int tokens, Duration duration);

    /** Reads the id of a reservation from the body of a response; empty if the body has none. */
    Optional<String> readReservation(byte[] body);

    /** Returns the path that releases a reservation with DELETE. */
    String reservationReleasePath(String reservation);

    /** Returns the path that releases a KV cache at a prefill server with DELETE. */
    String cacheReleasePath(String handle);
}
