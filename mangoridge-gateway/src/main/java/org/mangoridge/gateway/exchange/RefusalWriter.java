package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.net.CallerExchange;

/** Writes the responses with which the instance itself refuses a request. */
final class RefusalWriter {

    private final WireDialect dialect;

    RefusalWriter(WireDialect dialect) {
        this.dialect = dialect;
    }

    /** Sends a refusal and returns its status, which tells the caller whether the request may have been executed. */
    HttpResponseStatus refuse(CallerExchange exchange, Optional<RequestId> id, Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        id.ifPresent(request -> dialect.writeRequestId(headers, request));
        refusal.retryAfter().ifPresent(after -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(after)));
        String body = "{\"error\":\"" + refusal.reason().code() + "\",\"verdict\":\""
                + refusal.verdict().text() + "\",\"detail\":\""
                + new String(JsonStringEncoder.getInstance().quoteAsString(refusal.detail())) + "\"}";
        ByteBuf bytes = Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8));
        HttpResponseStatus status = status(refusal);
        exchange.respond(status, headers, bytes);
        return status;
    }

    /** Returns the HTTP status of a refusal; it implies that nothing was executed only if that is certain. */
    static HttpResponseStatus status(Refusal refusal) {
        if (refusal.verdict() != Verdict.NOT_RUN) {
            return refusal.reason() == RefusalReason.DEADLINE
                    ? HttpResponseStatus.GATEWAY_TIMEOUT
                    : HttpResponseStatus.BAD_GATEWAY;
        }
        int status = refusal.reason().httpStatus();
        return status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                : HttpResponseStatus.valueOf(status);
    }

    private static String seconds(Duration time) {
        return String.format(Locale.ROOT, "%.3f", time.toMillis() / 1000.0);
    }
}
