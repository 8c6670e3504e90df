package org.mangoridge.claims.protocol;

import java.time.Instant;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;

/**
 * A claim of one attempt on one idempotency key of one caller.
 *
 * @param service the service that is called
 * @param caller whose key it is; nobody else is given the outcome
 * @param key the idempotency key as the caller sent it
 * @param fingerprint the hash of the request, the same for each retry
 * @param attempt the attempt that wrote the claim
 * @param holder the run of the instance that makes the attempt
 * @param state where the call has come to
 * @param claimedAt when the claim was made
 * @param overdueAt when the attempt has ended, with or without an outcome
 * @param outcome the outcome, if recorded
 */
public record Claim(
        ServiceId service,
        CallerId caller,
        String key,
        String fingerprint,
        AttemptId attempt,
        String holder,
        ClaimState state,
        Instant claimedAt,
        Instant overdueAt,
        Optional<RecordedAnswer> outcome) {

    public Claim {
        Checks.notNull(service, "service");
        Checks.notNull(caller, "caller");
        Checks.notBlank(key, "key");
        Checks.notBlank(fingerprint, "fingerprint");
        Checks.notNull(attempt, "attempt");
        Checks.notBlank(holder, "holder");
        Checks.notNull(state, "state");
        Checks.argument(outcome.isPresent() == (state == ClaimState.RECORDED), "an outcome goes with RECORDED alone");
    }

    /** Returns this claim with the outcome recorded. */
    public Claim recorded(RecordedAnswer answer) {
        return with(ClaimState.RECORDED, Optional.of(answer));
    }

    /** Returns this claim released, so that another attempt may claim. */
    public Claim released() {
        return with(ClaimState.RELEASED, Optional.empty());
    }

    private Claim with(ClaimState newState, Optional<RecordedAnswer> newOutcome) {
        return new Claim(
                service, caller, key, fingerprint, attempt, holder, newState, claimedAt, overdueAt, newOutcome);
    }
}
