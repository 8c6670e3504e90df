package org.mangoridge.gateway.net;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Detects requests that two HTTP parsers could frame differently, which permits request smuggling. */
final class RequestFraming {

    private static final String CHUNKED = "chunked";

    private RequestFraming() {}

    /** Returns whether the body length is given more than once or in an unsupported way, or {@code Host} is repeated. */
    static boolean isAmbiguous(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            return true;
        }
        if (codings.isEmpty()) {
            return lengths.size() > 1;
        }
        boolean onlyChunked = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase(CHUNKED);
        return !lengths.isEmpty() || !onlyChunked || request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }
}
