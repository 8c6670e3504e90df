package org.mangoridge.claims.protocol;

import java.time.Instant;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.verdict.Verdict;

/**
 * State machine of one attempt at a call that must run at most once; {@code spec/claims.pml} models its steps.
 *
 * <p>The claim is written before the call is dispatched, no attempt takes over the claim of another, and an attempt
 * releases its claim only if the call provably did not run. The caller of this class carries out each action and
 * answers it with one event. Not safe for use by several threads.
 */
public final class ClaimMachine {

    private static final int MAX_CLAIM_WRITES = 4;

    /** About 20 minutes at the longest back-off of a {@code ClaimRunner}. */
    private static final int MAX_BACKGROUND_FAILURES = 120;

    private enum Step {
        CLAIM,
        READ,
        DISPATCH,
        RECORD,
        RELEASE,
        REPLY,
        BACKGROUND_WRITE,
        REVOKE_READ,
        REVOKE_WRITE,
        BACK_OFF,
        DONE
    }

    private final Claim claim;
    private Step step = Step.CLAIM;
    private Step afterReply = Step.DONE;
    private Step afterBackOff = Step.DONE;
    private ClaimResult result;

    /** The recorded or released claim that ends the attempt. */
    private Claim finalClaim;

    /** The version that the claim write expects, 0 if it expects no object. */
    private long expectedVersion;

    /** The version at which the store holds this attempt's claim. */
    private long claimVersion;

    /** Whether a claim write without a known outcome may still take effect on {@link #expectedVersion}. */
    private boolean claimInDoubt;

    private int claimWrites = 1;
    private int backgroundFailures;

    private ClaimMachine(Claim claim) {
        this.claim = claim;
    }

    /** Returns a machine for the attempt that {@code claim} names; {@link #begin()} returns its first action. */
    public static ClaimMachine of(Claim claim) {
        Checks.argument(claim.state() == ClaimState.CLAIMED, "a new attempt needs a claim in state CLAIMED");
        return new ClaimMachine(claim);
    }

    /** Returns the first action, which creates the claim. */
    public ClaimAction begin() {
        return new ClaimAction.Write(expectedVersion, claim);
    }

    /**
     * Handles the outcome of the last action and returns the next action.
     *
     * @param now the wall-clock time
     * @throws IllegalStateException if the event does not answer the last action
     */
    public ClaimAction on(ClaimEvent event, Instant now) {
        return switch (step) {
            case CLAIM -> onClaimWrite(event, now);
            case READ -> onRead(event, now);
            case DISPATCH -> onServerOutcome(event);
            case RECORD, RELEASE -> onEndWrite(event);
            case REPLY -> onReplied();
            case BACKGROUND_WRITE -> onBackgroundWrite(event);
            case REVOKE_READ -> onRevokeRead(event);
            case REVOKE_WRITE -> onRevokeWrite(event);
            case BACK_OFF -> resume();
            case DONE -> throw unexpected(event);
        };
    }

    private ClaimAction onClaimWrite(ClaimEvent event, Instant now) {
        return switch (event) {
            case ClaimEvent.Written written -> claimed(written.version(), now);
            case ClaimEvent.Conflict conflict -> read();
            case ClaimEvent.Unknown unknown -> {
                claimInDoubt = true;
                yield read();
            }
            case ClaimEvent.NotWritten notWritten -> giveUp();
            default -> throw unexpected(event);
        };
    }

    private ClaimAction onRead(ClaimEvent event, Instant now) {
        return switch (event) {
            case ClaimEvent.ReadFailed failed -> giveUp();
            case ClaimEvent.Read read when read.claim().isEmpty() -> claimAt(0);
            case ClaimEvent.Read read -> onStoredClaim(read.claim().get(), now);
            default -> throw unexpected(event);
        };
    }

    private ClaimAction onStoredClaim(StoredClaim stored, Instant now) {
        Claim found = stored.claim();
        boolean isOwn = found.attempt().equals(claim.attempt());
        if (!found.fingerprint().equals(claim.fingerprint())) {
            return reply(new ClaimResult.KeyReused(), revokeIfInDoubt(stored.version()));
        }
        return switch (found.state()) {
            case RECORDED -> reply(new ClaimResult.Replayed(found.outcome().orElseThrow()), Step.DONE);
            case RELEASED ->
                isOwn ? reply(notRun(ClaimResult.Cause.SETTLED_AS_NOT_RUN), Step.DONE) : claimAt(stored.version());
            case CLAIMED -> isOwn ? claimed(stored.version(), now) : heldByOther(found, now);
        };
    }

    /** Writes the claim again; of several writes that expect the same version, at most one takes effect. */
    private ClaimAction claimAt(long version) {
        if (claimWrites >= MAX_CLAIM_WRITES) {
            return giveUp();
        }
        claimWrites++;
        claimInDoubt &= version == expectedVersion;
        expectedVersion = version;
        step = Step.CLAIM;
        return new ClaimAction.Write(expectedVersion, claim);
    }

    private ClaimAction heldByOther(Claim other, Instant now) {
        ClaimResult answer = now.isBefore(other.overdueAt())
                ? new ClaimResult.InProgress(other.overdueAt())
                : new ClaimResult.OutcomeUnknown(other.claimedAt());
        return reply(answer, Step.DONE);
    }

    private ClaimAction claimed(long version, Instant now) {
        claimVersion = version;
        if (!now.isBefore(claim.overdueAt())) {
            return release(ClaimResult.Cause.DEADLINE_PASSED);
        }
        step = Step.DISPATCH;
        return new ClaimAction.Dispatch();
    }

    private ClaimAction onServerOutcome(ClaimEvent event) {
        return switch (event) {
            case ClaimEvent.Answered answered ->
                record(answered.answer(), new ClaimResult.Completed(answered.answer()));
            case ClaimEvent.Stopped stopped
            when stopped.progress().verdict() == Verdict.NOT_RUN -> release(ClaimResult.Cause.SERVER_UNREACHABLE);
            case ClaimEvent.Stopped stopped
            when stopped.progress().verdict() == Verdict.RAN ->
                record(RecordedAnswer.notKept(), new ClaimResult.Incomplete(stopped.progress()));
            case ClaimEvent.Stopped stopped -> reply(new ClaimResult.Incomplete(stopped.progress()), Step.DONE);
            default -> throw unexpected(event);
        };
    }

    private ClaimAction record(RecordedAnswer answer, ClaimResult newResult) {
        result = newResult;
        return writeEnd(Step.RECORD, claim.recorded(answer));
    }

    private ClaimAction release(ClaimResult.Cause cause) {
        result = notRun(cause);
        return writeEnd(Step.RELEASE, claim.released());
    }

    private ClaimAction writeEnd(Step next, Claim newFinalClaim) {
        step = next;
        finalClaim = newFinalClaim;
        return new ClaimAction.Write(claimVersion, finalClaim);
    }

    /** Replies after the first write of the final claim; retries of that write follow in the background. */
    private ClaimAction onEndWrite(ClaimEvent event) {
        return reply(result, isFinal(event) ? Step.DONE : Step.BACKGROUND_WRITE);
    }

    private ClaimAction giveUp() {
        return reply(notRun(ClaimResult.Cause.PLATFORM_UNAVAILABLE), claimInDoubt ? Step.REVOKE_READ : Step.DONE);
    }

    private Step revokeIfInDoubt(long version) {
        return claimInDoubt && version == expectedVersion ? Step.REVOKE_READ : Step.DONE;
    }

    private ClaimAction onReplied() {
        return switch (afterReply) {
            case BACKGROUND_WRITE -> backOff(Step.BACKGROUND_WRITE);
            case REVOKE_READ -> readToRevoke();
            default -> done(true);
        };
    }

    private ClaimAction onBackgroundWrite(ClaimEvent event) {
        return isFinal(event) ? done(true) : backOff(Step.BACKGROUND_WRITE);
    }

    /** Releases this attempt's claim, or moves the object past the version that a claim write in doubt expects. */
    private ClaimAction onRevokeRead(ClaimEvent event) {
        if (!(event instanceof ClaimEvent.Read read)) {
            return backOff(Step.REVOKE_READ);
        }
        Optional<StoredClaim> stored = read.claim();
        long version = stored.map(StoredClaim::version).orElse(0L);
        boolean isOwn = stored.isPresent()
                && stored.get().claim().state() == ClaimState.CLAIMED
                && stored.get().claim().attempt().equals(claim.attempt());
        if (!isOwn && version != expectedVersion) {
            return done(true);
        }
        step = Step.REVOKE_WRITE;
        return new ClaimAction.Write(version, claim.released());
    }

    private ClaimAction onRevokeWrite(ClaimEvent event) {
        return switch (event) {
            case ClaimEvent.Written written -> done(true);
            case ClaimEvent.Conflict conflict -> readToRevoke();
            default -> backOff(Step.REVOKE_READ);
        };
    }

    private ClaimAction backOff(Step next) {
        backgroundFailures++;
        if (backgroundFailures > MAX_BACKGROUND_FAILURES) {
            return done(false);
        }
        step = Step.BACK_OFF;
        afterBackOff = next;
        return new ClaimAction.BackOff(backgroundFailures);
    }

    private ClaimAction resume() {
        if (afterBackOff == Step.REVOKE_READ) {
            return readToRevoke();
        }
        return writeEnd(Step.BACKGROUND_WRITE, finalClaim);
    }

    private ClaimAction read() {
        step = Step.READ;
        return new ClaimAction.Read();
    }

    private ClaimAction readToRevoke() {
        step = Step.REVOKE_READ;
        return new ClaimAction.Read();
    }

    private ClaimAction reply(ClaimResult newResult, Step next) {
        step = Step.REPLY;
        afterReply = next;
        return new ClaimAction.Reply(newResult);
    }

    private ClaimAction done(boolean complete) {
        step = Step.DONE;
        return new ClaimAction.Done(complete);
    }

    /** Tells whether the write needs no retry: it took effect, or never can. */
    private static boolean isFinal(ClaimEvent event) {
        return event instanceof ClaimEvent.Written || event instanceof ClaimEvent.Conflict;
    }

    private static ClaimResult notRun(ClaimResult.Cause cause) {
        return new ClaimResult.NotRun(cause);
    }

    private IllegalStateException unexpected(ClaimEvent event) {
        return new IllegalStateException("unexpected event in step " + step + ": " + event);
    }
}
