package org.mangoridge.entry.reply;

import java.time.Duration;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.http.Headers;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebReply;

/** Creates replies and reply headers with the request id and the verdict. */
public final class Replies {

    /** The header with the id of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** The header with the verdict on whether the request was executed. */
    public static final String VERDICT_HEADER = "X-Verdict";

    private static final String RETRY_AFTER_HEADER = "Retry-After";

    private Replies() {}

    /** Returns the headers of the reply to a served request. */
    public static Headers servedHeaders(RequestId request) {
        return Headers.of(REQUEST_ID_HEADER, request.value()).with(VERDICT_HEADER, Verdict.RAN.text());
    }

    /** Returns the reply to a refused request. */
    public static WebReply refusal(RequestId request, Refusal refusal) {
        Headers headers = Headers.of(REQUEST_ID_HEADER, request.value())
                .with(VERDICT_HEADER, refusal.verdict().text());
        if (refusal.retryAfter().isPresent()) {
            headers = headers.with(
                    RETRY_AFTER_HEADER,
                    Long.toString(ceilSeconds(refusal.retryAfter().get())));
        }
        return WebReply.json(refusal.reason().httpStatus(), headers, errorBody(request, refusal));
    }

    /** Returns the error body for a refusal; it is also sent as the last event of a stream that failed. */
    public static ErrorBody errorBody(RequestId request, Refusal refusal) {
        return new ErrorBody(new ErrorBody.Detail(
                refusal.reason().code(), refusal.detail(), refusal.verdict().text(), request.value()));
    }

    /** Rounds up to seconds, at least 1, since {@code Retry-After} has no fractions. */
    private static long ceilSeconds(Duration duration) {
        return Math.max(1, duration.plusSeconds(1).minusNanos(1).toSeconds());
    }
}
