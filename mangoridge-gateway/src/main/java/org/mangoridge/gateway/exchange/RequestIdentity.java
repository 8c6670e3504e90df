package org.mangoridge.gateway.exchange;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.mangoridge.dispatch.quarantine.Prompt;
import org.mangoridge.dispatch.quarantine.RequestFingerprint;
import org.mangoridge.dispatch.request.PromptPart;
import org.mangoridge.gateway.net.InboundRequest;

/** What a request has in common with others; to be used before the exchange ends, on the event loop. */
final class RequestIdentity {

    private final InboundRequest request;
    private final List<PromptPart> sharedParts;
    private final String caller;
    private PromptPart fingerprint;

    private RequestIdentity(InboundRequest request, List<PromptPart> sharedParts) {
        this.request = request;
        this.sharedParts = sharedParts;
        this.caller = request.headers().get(HttpHeaderNames.HOST, "");
    }

    /** Returns the identity of a request whose prompt has the given parts; none for a request of a plain service. */
    static RequestIdentity of(InboundRequest request, List<PromptPart> sharedParts) {
        return new RequestIdentity(request, sharedParts);
    }

    /** Returns the shared parts of the prompt. */
    Prompt sharedParts() {
        return new Prompt(sharedParts);
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
    Prompt complete() {
        List<PromptPart> parts = new ArrayList<>(sharedParts);
        parts.add(fingerprint());
        return new Prompt(parts);
    }

    /** Returns the fingerprint, which is the same for the same requests only. */
    PromptPart fingerprint() {
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
