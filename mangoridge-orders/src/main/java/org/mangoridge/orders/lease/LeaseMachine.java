package org.mangoridge.orders.lease;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.Owner;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;

/**
 * Takes, renews and gives back one lease; used by one thread.
 *
 * <p>At most one action is in progress: the shell answers each with an event before the next is asked for.
 */
public final class LeaseMachine {

    private record PendingWrite(LeaseRecord record, Duration sent, boolean takesOver, boolean afterCleanEnd) {}

    private final Owner owner;
    private final LeaseTiming terms;
    private LeaseEvent.StoredLease observed;
    private Duration observedSince = Duration.ZERO;
    private boolean absent;
    private boolean reading;
    private Duration lastRead;
    private PendingWrite pending;
    private PendingWrite unsettled;
    private Duration lastRenewal = Duration.ZERO;
    private Tenure tenure;
    private long greatestFencing;
    private boolean givingBack;

    private LeaseMachine(Owner owner, LeaseTiming terms) {
        this.owner = owner;
        this.terms = terms;
    }

    /** Returns a machine of the run {@code owner} that holds nothing. */
    public static LeaseMachine create(Owner owner, LeaseTiming terms) {
        return new LeaseMachine(Checks.notNull(owner, "owner"), Checks.notNull(terms, "terms"));
    }

    /** Returns the tenure if the lease is held at {@code now}. */
    public Optional<Tenure> tenure(Duration now) {
        return Optional.ofNullable(tenure).filter(held -> held.coversFencedOrder(now));
    }

    /** Takes an event and returns the action to start, if any. */
    public Optional<LeaseAction> on(LeaseEvent event, Duration now) {
        return switch (event) {
            case LeaseEvent.Tick tick -> tick(tick.candidate(), now);
            case LeaseEvent.LeaseRead read -> read(read.stored(), now);
            case LeaseEvent.ReadFailed failed -> {
                reading = false;
                yield Optional.empty();
            }
            case LeaseEvent.WriteFinished settled -> settled(settled.outcome(), now);
            case LeaseEvent.FencingSeen seen -> fencingSeen(seen.fencing());
            case LeaseEvent.Release giveBack -> giveBack(now);
        };
    }

    private Optional<LeaseAction> tick(boolean candidate, Duration now) {
        if (reading || pending != null) {
            return Optional.empty();
        }
        if (tenure(now).isPresent() && !givingBack) {
            return renew(now);
        }
        boolean due = lastRead == null || now.compareTo(lastRead.plus(terms.readInterval())) >= 0;
        return candidate && due && !givingBack ? startRead(now) : Optional.empty();
    }

    private Optional<LeaseAction> renew(Duration now) {
        if (now.compareTo(lastRenewal.plus(terms.renewInterval())) < 0) {
            return Optional.empty();
        }
        if (unsettled != null) {
            return startRead(now);
        }
        return startWrite(new PendingWrite(observed.record().renewed(), now, false, false));
    }

    private Optional<LeaseAction> startRead(Duration now) {
        reading = true;
        lastRead = now;
        return Optional.of(new LeaseAction.ReadLease());
    }

    private Optional<LeaseAction> startWrite(PendingWrite write) {
        pending = write;
        if (!write.takesOver()) {
            lastRenewal = write.sent();
        }
        Precondition condition = absent ? Precondition.absent() : Precondition.atVersion(observed.version());
        return Optional.of(new LeaseAction.WriteLease(write.record(), condition));
    }

    private Optional<LeaseAction> read(Optional<LeaseEvent.StoredLease> stored, Duration now) {
        reading = false;
        observe(stored, now);
        if (givingBack) {
            return Optional.empty();
        }
        if (stored.isEmpty()) {
            tenure = null;
            return takeOver(now, true);
        }
        LeaseRecord record = stored.get().record();
        if (unsettled != null && record.equals(unsettled.record())) {
            PendingWrite landed = unsettled;
            unsettled = null;
            hold(landed, now);
            return Optional.empty();
        }
        if (tenure(now).isPresent() && isOurs(record)) {
            unsettled = null;
            return renew(now);
        }
        tenure = null;
        if (isOwnRun(record)) {
            return takeOver(now, false);
        }
        boolean expired = now.compareTo(observedSince.plus(terms.withDriftMargin(durationOf(record)))) >= 0;
        return record.released() || expired ? takeOver(now, record.released()) : Optional.empty();
    }

    private void observe(Optional<LeaseEvent.StoredLease> stored, Duration now) {
        absent = stored.isEmpty();
        if (absent) {
            observed = null;
            return;
        }
        greatestFencing = Math.max(greatestFencing, stored.get().record().fencing());
        if (!stored.get().equals(observed)) {
            observed = stored.get();
            observedSince = now;
        }
    }

    /** Writes a new tenure; its number is greater than any that the store or a server has shown. */
    private Optional<LeaseAction> takeOver(Duration now, boolean afterCleanEnd) {
        LeaseRecord record = new LeaseRecord(
                owner.instance().value(),
                owner.incarnation().value(),
                greatestFencing + 1,
                1,
                terms.duration().toMillis(),
                false);
        return startWrite(new PendingWrite(record, now, true, afterCleanEnd));
    }

    private Optional<LeaseAction> settled(WriteOutcome outcome, Duration now) {
        PendingWrite write = pending;
        pending = null;
        switch (outcome) {
            case WriteOutcome.Written written -> {
                absent = false;
                observed = new LeaseEvent.StoredLease(write.record(), written.version());
                observedSince = now;
                greatestFencing = Math.max(greatestFencing, write.record().fencing());
                unsettled = null;
                hold(write, now);
                if (givingBack && !write.record().released()) {
                    return giveBack(now);
                }
            }
            case WriteOutcome.Unknown unknown -> {
                unsettled = write;
                greatestFencing = Math.max(greatestFencing, write.record().fencing());
            }
            case WriteOutcome.Conflict conflict -> {
                return givingBack ? Optional.empty() : startRead(now);
            }
            case WriteOutcome.NotWritten notWritten -> {
                // tried again at the next tick that is due
            }
        }
        return Optional.empty();
    }

    private void hold(PendingWrite write, Duration now) {
        if (write.record().released()) {
            tenure = null;
            return;
        }
        Duration until = write.sent().plus(terms.holderValidity());
        if (!write.takesOver()) {
            tenure = tenure == null ? null : tenure.until(until);
            return;
        }
        Duration quiet = write.afterCleanEnd() ? now : now.plus(terms.withDriftMargin(terms.maxOrderDuration()));
        tenure = new Tenure(FencingToken.of(write.record().fencing()), now, until, quiet);
        lastRenewal = write.sent();
    }

    private Optional<LeaseAction> fencingSeen(long fencing) {
        greatestFencing = Math.max(greatestFencing, fencing);
        if (tenure != null && fencing > tenure.fencing().value()) {
            tenure = null;
        }
        return Optional.empty();
    }

    private Optional<LeaseAction> giveBack(Duration now) {
        givingBack = true;
        if (pending != null || reading || observed == null || tenure(now).isEmpty()) {
            tenure = null;
            return Optional.empty();
        }
        tenure = null;
        return startWrite(new PendingWrite(observed.record().givenBack(), now, false, false));
    }

    private boolean isOurs(LeaseRecord record) {
        return isOwnRun(record) && record.fencing() == tenure.fencing().value();
    }

    private boolean isOwnRun(LeaseRecord record) {
        return record.instance().equals(owner.instance().value())
                && record.incarnation() == owner.incarnation().value()
                && !record.released();
    }

    private static Duration durationOf(LeaseRecord record) {
        return Duration.ofMillis(record.durationMillis());
    }
}
