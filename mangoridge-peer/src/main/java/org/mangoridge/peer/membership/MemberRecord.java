package org.mangoridge.peer.membership;

import java.util.Comparator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.InstanceId;

/**
 * What one instance knows of another.
 *
 * @param member the instance
 * @param heartbeat raised by the instance alone, at each change of its own record
 * @param liveness what is believed of it
 */
public record MemberRecord(Member member, long heartbeat, Liveness liveness) {

    private static final Comparator<MemberRecord> AGE = Comparator.comparing((MemberRecord s) -> s.member.incarnation())
            .thenComparingLong(MemberRecord::heartbeat)
            .thenComparing(MemberRecord::liveness);

    public MemberRecord {
        Checks.notNull(member, "member");
        Checks.notNull(liveness, "liveness");
    }

    /** Returns the instance's name. */
    public InstanceId id() {
        return member.id();
    }

    /** Tells whether this is later news than {@code other} of the same instance. */
    public boolean isNewerThan(MemberRecord other) {
        return AGE.compare(this, other) > 0;
    }

    /** Returns the same record with another belief. */
    public MemberRecord withLiveness(Liveness other) {
        return new MemberRecord(member, heartbeat, other);
    }

    /** Tells whether the instance may still do work: it is not believed dead and has not said that it stopped. */
    public boolean isLive() {
        return liveness != Liveness.DEAD && member.state() != ServingState.STOPPED;
    }
}
