package org.mangoridge.claims.protocol;

import java.time.Instant;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;

/**
 * The claim of one attempt on one idempotency key of one caller.
 *
 * @param service the service that is called
 * @param caller the caller that owns the key; only this caller is given the outcome
 * @param key the idempotency key as the caller sent it
 * @param fingerprint the hash of the request, which is the same for each retry
 * @param attempt the attempt that wrote the claim
 * @param holder the instance, with its incarnation, that makes the attempt
 * @param state the state of the call
 * @param claimedAt when the claim was made
 * @param overdueAt the time by which the attempt has ended, with or without an outcome
 * @param outcome the outcome of the call, present if and only if it is recorded
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
        Checks.argument(
                outcome.isPresent() == (state == ClaimState.RECORDED),
                "only a RECORDED claim has an outcome, and it must");
    }

    /** Returns this claim with the outcome recorded. */
    public Claim recorded(RecordedAnswer answer) {
        return withState(ClaimState.RECORDED, Optional.of(answer));
    }

    /** Returns this claim in the released state, in which another attempt may claim the key. */
    public Claim released() {
        return withState(ClaimState.RELEASED, Optional.empty());
    }

    private Claim withState(ClaimState newState, Optional<RecordedAnswer> newOutcome) {
        return new Claim(
                service, caller, key, fingerprint, attempt, holder, newState, claimedAt, overdueAt, newOutcome);
    }
}
