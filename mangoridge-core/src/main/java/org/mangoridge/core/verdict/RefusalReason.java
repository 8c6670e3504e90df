package org.mangoridge.core.verdict;

/** Why a request was not served; each reason has a stable code and an HTTP status. */
public enum RefusalReason {
    /** The caller's key is missing or unknown. */
    BAD_KEY("bad_key", 401),
    /** The request can't be read. */
    MALFORMED("malformed_request", 400),
    /** The body is larger than the limit. */
    TOO_LARGE("body_too_large", 413),
    /** No service has the name or path. */
    UNKNOWN_SERVICE("unknown_service", 404),
    /** The caller's other requests fill its share. */
    CALLER_SHARE("caller_share_exhausted", 429),
    /** The latency target can't be met now. */
    TARGET_UNREACHABLE("target_unreachable", 503),
    /** No server of the service has room. */
    NO_CAPACITY("no_capacity", 503),
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
    /** The idempotency key was used with another request. */
    KEY_REUSED("idempotency_key_reused", 422),
    /** An attempt with the same idempotency key is in progress. */
    IN_PROGRESS("in_progress", 409),
    /** An earlier attempt with the same key has no known outcome. */
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    /** The platform can't record the claim that the request needs. */
    PLATFORM_UNAVAILABLE("platform_unavailable", 503),
    /** The call ran and its answer is not held for retries. */
    ANSWER_NOT_KEPT("answer_not_kept", 409),
    /** The instance's share of claim writes is used up. */
    CLAIM_LIMIT("claim_limit", 503),
    /** A defect of the system itself. */
    INTERNAL("internal_error", 500);

    private final String code;
    private final int httpStatus;

    RefusalReason(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /** Returns the code that callers see. */
    public String code() {
        return code;
    }

    /** Returns the status of the HTTP answer. */
    public int httpStatus() {
        return httpStatus;
    }
}
