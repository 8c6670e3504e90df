package org.mangoridge.core.verdict;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Checks;

/**
 * The answer to a request that was not served.
 *
 * @param reason why the request was not served
 * @param verdict whether the request may have run
 * @param detail one sentence for the caller; must not contain secrets
 * @param retryAfter how long to wait before a retry, or empty if a retry does not help
 */
public record Refusal(RefusalReason reason, Verdict verdict, String detail, Optional<Duration> retryAfter) {

    public Refusal {
        Checks.notNull(reason, "reason");
        Checks.notNull(verdict, "verdict");
        Checks.notBlank(detail, "detail");
        Checks.notNull(retryAfter, "retryAfter");
    }

    /** Returns a refusal of a request that did not run, without a time to retry after. */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, Verdict.NOT_RUN, detail, Optional.empty());
    }

    /** Returns a refusal of a request that did not run and may be retried after {@code retryAfter}. */
    public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
        return new Refusal(reason, Verdict.NOT_RUN, detail, Optional.of(retryAfter));
    }

    /** Returns a refusal with the given verdict, without a time to retry after. */
    public static Refusal of(RefusalReason reason, Verdict verdict, String detail) {
        return new Refusal(reason, verdict, detail, Optional.empty());
    }
}
