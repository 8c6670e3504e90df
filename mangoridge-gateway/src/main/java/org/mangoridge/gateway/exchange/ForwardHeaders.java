package org.mangoridge.gateway.exchange;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.mangoridge.gateway.request.WireDialect;

/** Copies headers from one connection to the next, without those that concern one connection only. */
final class ForwardHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private ForwardHeaders() {}

    /** Returns the headers of a caller's request as they go to a server. */
    static HttpHeaders ofRequest(HttpHeaders headers, WireDialect dialect) {
        HttpHeaders copy = copy(headers, dialect);
        dialect.removeReservedHeaders(copy);
        return copy;
    }

    /** Returns the headers of a server's answer as they go to the caller. */
    static HttpHeaders ofAnswer(HttpHeaders headers, WireDialect dialect) {
        return copy(headers, dialect);
    }

    private static HttpHeaders copy(HttpHeaders headers, WireDialect dialect) {
        HttpHeaders copy = new DefaultHttpHeaders(false);
        List<String> named = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> java.util.Arrays.stream(value.split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .toList();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean forOneConnection = HOP_BY_HOP.contains(name) || named.contains(name) && !dialect.isEndToEnd(name);
            if (!forOneConnection) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
