package org.mangoridge.entry.reply;

import java.time.Duration;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.http.Headers;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebReply;

/** Builds answers with the headers that all of them carry. */
public final class Replies {

    /** Names the request in every answer. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Says whether a request that was not served may have run. */
    public static final String VERDICT_HEADER = "X-Verdict";

    private static final String RETRY_AFTER_HEADER = "Retry-After";

    private Replies() {}

    /** Returns the headers of an answer to a served request. */
    public static Headers servedHeaders(RequestId request) {
        return Headers.of(REQUEST_ID_HEADER, request.value()).with(VERDICT_HEADER, Verdict.RAN.text());
    }

    /** Returns the answer to a refused request. */
    public static WebReply refusal(RequestId request, Refusal refusal) {
        Headers headers = Headers.of(REQUEST_ID_HEADER, request.value())
                .with(VERDICT_HEADER, refusal.verdict().text());
        if (refusal.retryAfter().isPresent()) {
            headers = headers.with(
                    RETRY_AFTER_HEADER,
                    Long.toString(wholeSeconds(refusal.retryAfter().get())));
        }
        return WebReply.json(refusal.reason().httpStatus(), headers, errorBody(request, refusal));
    }

    /** Returns the body of a refusal, which also ends a stream that was cut. */
    public static ErrorBody errorBody(RequestId request, Refusal refusal) {
        return new ErrorBody(new ErrorBody.Detail(
                refusal.reason().code(), refusal.detail(), refusal.verdict().text(), request.value()));
    }

    private static long wholeSeconds(Duration duration) {
        return Math.max(1, duration.plusSeconds(1).minusNanos(1).toSeconds());
    }
}
