package org.mangoridge.claims.protocol;

import java.time.Instant;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.verdict.Verdict;

/**
 * Decides one attempt at a call that may not be repeated; its steps are the labels of {@code spec/claims.pml}.
 *
 * <p>The claim is written before the call is dispatched, nobody takes a claim over, and only a proven not-run releases
 * it. Each action is answered by one event. Not safe for use by several threads.
 */
public final class ClaimMachine {

    private static final int MAX_CLAIM_WRITES = 4;
    private static final int MAX_BACKGROUND_TRIES = 120;

    private enum Step {
        CLAIM,
        LOOK,
        DISPATCH,
        RECORD,
        RELEASE,
        TELL,
        BACKGROUND_WRITE,
        VOID_LOOK,
        VOID_WRITE,
        PAUSE,
        DONE
    }

    private final Claim claim;
    private Step step = Step.CLAIM;
    private Step afterTold = Step.DONE;
    private Step afterPause = Step.DONE;
    private ClaimResult word;
    private Claim ending;
    private long condition;
    private long mine;
    private boolean mayLand;
    private int claimWrites = 1;
    private int failures;

    private ClaimMachine(Claim claim) {
        this.claim = claim;
    }

    /** Returns a machine for the attempt that {@code claim} names, whose first action is {@link #begin()}. */
    public static ClaimMachine of(Claim claim) {
        Checks.argument(claim.state() == ClaimState.CLAIMED, "an attempt begins with a claim");
        return new ClaimMachine(claim);
    }

    /** Returns the first action: to create the claim. */
    public ClaimAction begin() {
        return new ClaimAction.Write(condition, claim);
    }

    /**
     * Takes what came of the last action and returns the next.
     *
     * @param now the time of day
     * @throws IllegalStateException if the event does not answer the last action
     */
    public ClaimAction on(ClaimEvent event, Instant now) {
        return switch (step) {
            case CLAIM -> onClaim(event, now);
            case LOOK -> onLook(event, now);
            case DISPATCH -> onDispatched(event);
            case RECORD, RELEASE -> onEnding(event);
            case TELL -> onTold();
            case BACKGROUND_WRITE -> onBackgroundWrite(event);
            case VOID_LOOK -> onVoidLook(event);
            case VOID_WRITE -> onVoidWrite(event);
            case PAUSE -> resume();
            case DONE -> throw unexpected(event);
        };
    }

    private ClaimAction onClaim(ClaimEvent event, Instant now) {
        return switch (event) {
            case ClaimEvent.Written written -> claimed(written.version(), now);
            case ClaimEvent.Conflict conflict -> look();
            case ClaimEvent.Unknown unknown -> {
                mayLand = true;
                yield look();
            }
            case ClaimEvent.NotWritten notWritten -> giveUp();
            default -> throw unexpected(event);
        };
    }

    private ClaimAction onLook(ClaimEvent event, Instant now) {
        return switch (event) {
            case ClaimEvent.ReadFailed failed -> giveUp();
            case ClaimEvent.Read read when read.claim().isEmpty() -> claimAt(0);
            case ClaimEvent.Read read -> seen(read.claim().get(), now);
            default -> throw unexpected(event);
        };
    }

    private ClaimAction seen(StoredClaim seen, Instant now) {
        Claim other = seen.claim();
        boolean isMine = other.attempt().equals(claim.attempt());
        if (!other.fingerprint().equals(claim.fingerprint())) {
            return tell(new ClaimResult.KeyReused(), voidIfLate(seen.version()));
        }
        return switch (other.state()) {
            case RECORDED -> tell(new ClaimResult.Replayed(other.outcome().orElseThrow()), Step.DONE);
            case RELEASED ->
                isMine ? tell(notRun(ClaimResult.Cause.SETTLED_AS_NOT_RUN), Step.DONE) : claimAt(seen.version());
            case CLAIMED -> isMine ? claimed(seen.version(), now) : foreign(other, now);
        };
    }

    /** Claims at a version, or repeats a write under the same condition, of which at most one takes effect. */
    private ClaimAction claimAt(long version) {
        if (claimWrites >= MAX_CLAIM_WRITES) {
            return giveUp();
        }
        claimWrites++;
        mayLand &= version == condition;
        condition = version;
        step = Step.CLAIM;
        return new ClaimAction.Write(condition, claim);
    }

    private ClaimAction foreign(Claim other, Instant now) {
        ClaimResult found = now.isBefore(other.overdueAt())
                ? new ClaimResult.InProgress(other.overdueAt())
                : new ClaimResult.OutcomeUnknown(other.claimedAt());
        return tell(found, Step.DONE);
    }

    private ClaimAction claimed(long version, Instant now) {
        mine = version;
        if (!now.isBefore(claim.overdueAt())) {
            return release(ClaimResult.Cause.DEADLINE_PASSED);
        }
        step = Step.DISPATCH;
        return new ClaimAction.Dispatch();
    }

    private ClaimAction onDispatched(ClaimEvent event) {
        return switch (event) {
            case ClaimEvent.Answered answered ->
                record(answered.answer(), new ClaimResult.Completed(answered.answer()));
            case ClaimEvent.Stopped stopped
            when stopped.progress().verdict() == Verdict.NOT_RUN -> release(ClaimResult.Cause.SERVER_UNREACHABLE);
            case ClaimEvent.Stopped stopped
            when stopped.progress().verdict() == Verdict.RAN ->
                record(RecordedAnswer.notKept(), new ClaimResult.Incomplete(stopped.progress()));
            case ClaimEvent.Stopped stopped -> tell(new ClaimResult.Incomplete(stopped.progress()), Step.DONE);
            default -> throw unexpected(event);
        };
    }

    private ClaimAction record(RecordedAnswer answer, ClaimResult told) {
        word = told;
        return end(Step.RECORD, claim.recorded(answer));
    }

    private ClaimAction release(ClaimResult.Cause cause) {
        word = notRun(cause);
        return end(Step.RELEASE, claim.released());
    }

    private ClaimAction end(Step next, Claim last) {
        step = next;
        ending = last;
        return new ClaimAction.Write(mine, ending);
    }

    /** The first try to write the end of the attempt; the caller waits no longer than that. */
    private ClaimAction onEnding(ClaimEvent event) {
        return tell(word, isSettled(event) ? Step.DONE : Step.BACKGROUND_WRITE);
    }

    private ClaimAction giveUp() {
        return tell(notRun(ClaimResult.Cause.PLATFORM_UNAVAILABLE), mayLand ? Step.VOID_LOOK : Step.DONE);
    }

    private Step voidIfLate(long version) {
        return mayLand && version == condition ? Step.VOID_LOOK : Step.DONE;
    }

    private ClaimAction onTold() {
        return switch (afterTold) {
            case BACKGROUND_WRITE -> pause(Step.BACKGROUND_WRITE);
            case VOID_LOOK -> voidLook();
            default -> done(true);
        };
    }

    private ClaimAction onBackgroundWrite(ClaimEvent event) {
        return isSettled(event) ? done(true) : pause(Step.BACKGROUND_WRITE);
    }

    /** Takes back a claim of this attempt, or bars one that is still to land. */
    private ClaimAction onVoidLook(ClaimEvent event) {
        if (!(event instanceof ClaimEvent.Read read)) {
            return pause(Step.VOID_LOOK);
        }
        Optional<StoredClaim> seen = read.claim();
        long version = seen.map(StoredClaim::version).orElse(0L);
        boolean isMine = seen.isPresent()
                && seen.get().claim().state() == ClaimState.CLAIMED
                && seen.get().claim().attempt().equals(claim.attempt());
        if (!isMine && version != condition) {
            return done(true);
        }
        step = Step.VOID_WRITE;
        return new ClaimAction.Write(version, claim.released());
    }

    private ClaimAction onVoidWrite(ClaimEvent event) {
        return switch (event) {
            case ClaimEvent.Written written -> done(true);
            case ClaimEvent.Conflict conflict -> voidLook();
            default -> pause(Step.VOID_LOOK);
        };
    }

    private ClaimAction pause(Step next) {
        failures++;
        if (failures > MAX_BACKGROUND_TRIES) {
            return done(false);
        }
        step = Step.PAUSE;
        afterPause = next;
        return new ClaimAction.BackOff(failures);
    }

    private ClaimAction resume() {
        if (afterPause == Step.VOID_LOOK) {
            return voidLook();
        }
        return end(Step.BACKGROUND_WRITE, ending);
    }

    private ClaimAction look() {
        step = Step.LOOK;
        return new ClaimAction.Read();
    }

    private ClaimAction voidLook() {
        step = Step.VOID_LOOK;
        return new ClaimAction.Read();
    }

    private ClaimAction tell(ClaimResult told, Step next) {
        step = Step.TELL;
        afterTold = next;
        return new ClaimAction.Reply(told);
    }

    private ClaimAction done(boolean complete) {
        step = Step.DONE;
        return new ClaimAction.Done(complete);
    }

    private static boolean isSettled(ClaimEvent event) {
        return event instanceof ClaimEvent.Written || event instanceof ClaimEvent.Conflict;
    }

    private static ClaimResult notRun(ClaimResult.Cause cause) {
        return new ClaimResult.NotRun(cause);
    }

    private IllegalStateException unexpected(ClaimEvent event) {
        return new IllegalStateException("unexpected at " + step + ": " + event);
    }
}
