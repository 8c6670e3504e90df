package org.mangoridge.orders.lease;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.Owner;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;

/**
 * State machine that takes, renews and releases one lease; used by one thread.
 *
 * <p>At most one action is in progress: the caller answers each action with an event before it receives the next.
 */
public final class LeaseMachine {

    /**
     * A write that was sent to the store.
     *
     * @param record the lease to write
     * @param sentAt when the write was sent, on the monotonic clock
     * @param isTakeover whether the write starts a tenure
     * @param previousReleased whether the previous tenure was released, or there was none, so that none of its orders
     *     is in flight
     */
    private record PendingWrite(LeaseRecord record, Duration sentAt, boolean isTakeover, boolean previousReleased) {}

    /**
     * Fencing tokens of one era of the store. A restore loses the newest tokens, so those of the next era start above
     * all that could have been given in the one before.
     */
    private static final int FENCING_BITS_PER_ERA = 32;

    private final Owner owner;
    private final LeaseTiming timing;
    private LeaseEvent.StoredLease observed;
    private Duration observedSince = Duration.ZERO;
    private boolean leaseAbsent;
    private boolean reading;
    private Duration lastReadAt;
    private PendingWrite pendingWrite;

    /** The last write whose outcome is unknown, until a read or a later write decides it; null if there is none. */
    private PendingWrite writeInDoubt;

    private Duration lastRenewalAt = Duration.ZERO;
    private Tenure tenure;
    private long highestFencing;
    private boolean releasing;
    private boolean writeVoided;

    private LeaseMachine(Owner owner, LeaseTiming timing) {
        this.owner = owner;
        this.timing = timing;
    }

    /** Returns a machine that takes the lease for {@code owner}; it does not hold the lease yet. */
    public static LeaseMachine create(Owner owner, LeaseTiming timing) {
        return new LeaseMachine(Checks.notNull(owner, "owner"), Checks.notNull(timing, "timing"));
    }

    /** Returns the current tenure, empty if the lease is not held at {@code now}. */
    public Optional<Tenure> tenure(Duration now) {
        return Optional.ofNullable(tenure).filter(held -> held.coversFencedOrder(now));
    }

    /** Handles an event and returns the action to start, if any. */
    public Optional<LeaseAction> on(LeaseEvent event, Duration now) {
        return switch (event) {
            case LeaseEvent.Tick tick -> onTick(tick.candidate(), now);
            case LeaseEvent.LeaseRead read -> onLeaseRead(read, now);
            case LeaseEvent.ReadFailed failed -> {
                reading = false;
                yield Optional.empty();
            }
            case LeaseEvent.WriteFinished finished -> onWriteFinished(finished.outcome(), now);
            case LeaseEvent.FencingSeen seen -> onFencingSeen(seen.fencing());
            case LeaseEvent.Invalidated restored -> onInvalidated();
            case LeaseEvent.Release release -> onRelease(now);
        };
    }

    private Optional<LeaseAction> onTick(boolean candidate, Duration now) {
        if (reading || pendingWrite != null) {
            return Optional.empty();
        }
        if (tenure(now).isPresent() && !releasing) {
            return renewIfDue(now);
        }
        boolean due = lastReadAt == null || now.compareTo(lastReadAt.plus(timing.readInterval())) >= 0;
        return candidate && due && !releasing ? startRead(now) : Optional.empty();
    }

    private Optional<LeaseAction> renewIfDue(Duration now) {
        if (now.compareTo(lastRenewalAt.plus(timing.renewInterval())) < 0) {
            return Optional.empty();
        }
        if (writeInDoubt != null) {
            return startRead(now);
        }
        return startWrite(new PendingWrite(observed.record().nextRenewal(), now, false, false));
    }

    private Optional<LeaseAction> startRead(Duration now) {
        reading = true;
        lastReadAt = now;
        return Optional.of(new LeaseAction.ReadLease());
    }

    private Optional<LeaseAction> startWrite(PendingWrite write) {
        pendingWrite = write;
        if (!write.isTakeover()) {
            lastRenewalAt = write.sentAt();
        }
        Precondition condition = leaseAbsent ? Precondition.absent() : Precondition.atVersion(observed.version());
        return Optional.of(new LeaseAction.WriteLease(write.record(), condition));
    }

    private Optional<LeaseAction> onLeaseRead(LeaseEvent.LeaseRead read, Duration now) {
        Optional<LeaseEvent.StoredLease> stored = read.stored();
        reading = false;
        highestFencing = Math.max(highestFencing, read.era() << FENCING_BITS_PER_ERA);
        observe(stored, now);
        if (releasing) {
            return Optional.empty();
        }
        if (stored.isEmpty()) {
            tenure = null;
            return takeOver(now, true);
        }
        LeaseRecord record = stored.get().record();
        if (writeInDoubt != null && record.equals(writeInDoubt.record())) {
            PendingWrite applied = writeInDoubt;
            writeInDoubt = null;
            applyWrite(applied, now);
            return Optional.empty();
        }
        if (tenure(now).isPresent() && isOwnTenure(record)) {
            writeInDoubt = null;
            return renewIfDue(now);
        }
        tenure = null;
        if (isOwnIncarnation(record)) {
            return takeOver(now, false);
        }
        boolean expired = now.compareTo(observedSince.plus(timing.withDriftMargin(durationOf(record)))) >= 0;
        return record.released() || expired ? takeOver(now, record.released()) : Optional.empty();
    }

    private void observe(Optional<LeaseEvent.StoredLease> stored, Duration now) {
        leaseAbsent = stored.isEmpty();
        if (leaseAbsent) {
            observed = null;
            return;
        }
        highestFencing = Math.max(highestFencing, stored.get().record().fencing());
        if (!stored.get().equals(observed)) {
            observed = stored.get();
            observedSince = now;
        }
    }

    /** Starts a tenure; its fencing token is greater than any that was seen in the store or at a server. */
    private Optional<LeaseAction> takeOver(Duration now, boolean previousReleased) {
        LeaseRecord record = new LeaseRecord(
                owner.instance().value(),
                owner.incarnation().value(),
                highestFencing + 1,
                1,
                timing.duration().toMillis(),
                false);
        return startWrite(new PendingWrite(record, now, true, previousReleased));
    }

    private Optional<LeaseAction> onWriteFinished(WriteOutcome outcome, Duration now) {
        PendingWrite write = pendingWrite;
        pendingWrite = null;
        if (writeVoided) {
            writeVoided = false;
            return Optional.empty();
        }
        switch (outcome) {
            case WriteOutcome.Written written -> {
                leaseAbsent = false;
                observed = new LeaseEvent.StoredLease(write.record(), written.version());
                observedSince = now;
                highestFencing = Math.max(highestFencing, write.record().fencing());
                writeInDoubt = null;
                applyWrite(write, now);
                if (releasing && !write.record().released()) {
                    return onRelease(now);
                }
            }
            case WriteOutcome.Unknown unknown -> {
                writeInDoubt = write;
                highestFencing = Math.max(highestFencing, write.record().fencing());
            }
            case WriteOutcome.Conflict conflict -> {
                return releasing ? Optional.empty() : startRead(now);
            }
            case WriteOutcome.NotWritten notWritten -> {
                // retried at the next tick that is due
            }
        }
        return Optional.empty();
    }

    private void applyWrite(PendingWrite write, Duration now) {
        if (write.record().released()) {
            tenure = null;
            return;
        }
        Duration validUntil = write.sentAt().plus(timing.holderValidity());
        if (!write.isTakeover()) {
            tenure = tenure == null ? null : tenure.extendedTo(validUntil);
            return;
        }
        Duration quietUntil =
                write.previousReleased() ? now : now.plus(timing.withDriftMargin(timing.maxOrderDuration()));
        tenure = new Tenure(FencingToken.of(write.record().fencing()), now, validUntil, quietUntil);
        lastRenewalAt = write.sentAt();
    }

    private Optional<LeaseAction> onFencingSeen(long fencing) {
        highestFencing = Math.max(highestFencing, fencing);
        if (tenure != null && fencing > tenure.fencing().value()) {
            tenure = null;
        }
        return Optional.empty();
    }

    /**
     * Gives up the lease. A write in progress counts as not made: after a restore, it was conditional on a version that the
     * store may have given out again. The next read shows what the store holds.
     */
    private Optional<LeaseAction> onInvalidated() {
        tenure = null;
        writeInDoubt = null;
        observed = null;
        writeVoided = pendingWrite != null;
        return Optional.empty();
    }

    private Optional<LeaseAction> onRelease(Duration now) {
        releasing = true;
        if (pendingWrite != null || reading || observed == null || tenure(now).isEmpty()) {
            tenure = null;
            return Optional.empty();
        }
        tenure = null;
        return startWrite(new PendingWrite(observed.record().asReleased(), now, false, false));
    }

    private boolean isOwnTenure(LeaseRecord record) {
        return isOwnIncarnation(record) && record.fencing() == tenure.fencing().value();
    }

    private boolean isOwnIncarnation(LeaseRecord record) {
        return record.instance().equals(owner.instance().value())
                && record.incarnation() == owner.incarnation().value()
                && !record.released();
    }

    private static Duration durationOf(LeaseRecord record) {
        return Duration.ofMillis(record.durationMillis());
    }
}
