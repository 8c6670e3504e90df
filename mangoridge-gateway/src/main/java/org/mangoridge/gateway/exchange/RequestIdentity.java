package org.mangoridge.gateway.exchange;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.gateway.net.InboundRequest;

/** What a request has in common with others; to be used before the exchange ends, on the event loop. */
final class RequestIdentity {

    private final InboundRequest request;
    private final List<RequestPart> sharedParts;
    private final String caller;
    private RequestPart fingerprint;

    private RequestIdentity(InboundRequest request, List<RequestPart> sharedParts) {
        this.request = request;
        this.sharedParts = sharedParts;
        this.caller = request.headers().get(HttpHeaderNames.HOST, "");
    }

    /** Returns the identity of a request whose prompt has the given parts; none for a request of a plain service. */
    static RequestIdentity of(InboundRequest request, List<RequestPart> sharedParts) {
        return new RequestIdentity(request, sharedParts);
    }

    /** Returns the shared parts of the prompt. */
    RequestParts sharedParts() {
        return new RequestParts(sharedParts);
    }

    /** Returns the outline of the request, which costs less than its fingerprint. */
    String outline() {
        return RequestFingerprint.outline(
                request.method().name(),
                request.target(),
                caller,
                request.body().readableBytes());
    }

    /** Returns the shared parts of the prompt and the fingerprint of the request, which is the deepest part. */
    RequestParts complete() {
        List<RequestPart> parts = new ArrayList<>(sharedParts);
        parts.add(fingerprint());
        return new RequestParts(parts);
    }

    /** Returns the fingerprint, which is the same for the same requests only. */
    RequestPart fingerprint() {
        if (fingerprint == null) {
            fingerprint = RequestFingerprint.of(
                    request.method().name(),
                    request.target(),
                    caller,
                    request.body().nioBuffer());
        }
        return fingerprint;
    }
}
