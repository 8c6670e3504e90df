package org.mangoridge.core.verdict;

/** The reason why a request was not served, with its stable code and HTTP status. */
public enum RefusalReason {
    /** The caller's API key is missing or unknown. */
    BAD_KEY("bad_key", 401),
    /** The request can't be parsed. */
    MALFORMED("malformed_request", 400),
    /** The request body exceeds the size limit. */
    TOO_LARGE("body_too_large", 413),
    /** No service has the requested name or path. */
    UNKNOWN_SERVICE("unknown_service", 404),
    /** The caller's requests in progress use up its share. */
    CALLER_SHARE("caller_share_exhausted", 429),
    /** The caller's workspace asks for more than its quota. */
    QUOTA_EXCEEDED("quota_exceeded", 429),
    /** The latency target can't be met at the current load. */
    TARGET_UNREACHABLE("target_unreachable", 503),
    /** No server of the service has free capacity. */
    NO_CAPACITY("no_capacity", 503),
    /** A part of the prompt has crashed several servers. */
    QUARANTINED("quarantined", 503),
    /** No server of the service can be reached. */
    NO_SERVER("no_server", 503),
    /** The deadline passed before the request was served. */
    DEADLINE("deadline_passed", 504),
    /** The instance is shutting down. */
    DRAINING("draining", 503),
    /** The instance has no configuration yet. */
    NOT_READY("not_ready", 503),
    /** The backend server failed. */
    SERVER_FAILED("server_failed", 502),
    /** The idempotency key was already used with a different request. */
    KEY_REUSED("idempotency_key_reused", 422),
    /** An attempt with the same idempotency key is in progress. */
    IN_PROGRESS("in_progress", 409),
    /** The outcome of an earlier attempt with the same idempotency key is unknown. */
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    /** The platform can't store the claim that an idempotent request requires. */
    PLATFORM_UNAVAILABLE("platform_unavailable", 503),
    /** The request ran, but its answer was not kept for retries. */
    ANSWER_NOT_KEPT("answer_not_kept", 409),
    /** The instance has used up its share of claim writes. */
    CLAIM_LIMIT("claim_limit", 503),
    /** An internal error of the instance. */
    INTERNAL("internal_error", 500);

    private final String code;
    private final int httpStatus;

    RefusalReason(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /** Returns the code sent to callers. */
    public String code() {
        return code;
    }

    /** Returns the status code of the HTTP response. */
    public int httpStatus() {
        return httpStatus;
    }
}
