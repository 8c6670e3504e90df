package org.mangoridge.peer.membership;

import java.util.Comparator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.InstanceId;

/**
 * What is known of one instance; gossip carries these records.
 *
 * @param member the instance
 * @param heartbeat a counter that only the instance itself raises, when its state changes or it refutes a suspicion
 * @param liveness whether it is believed to be alive
 */
public record MemberRecord(Member member, long heartbeat, Liveness liveness) {

    private static final Comparator<MemberRecord> PRECEDENCE = Comparator.comparing(
                    (MemberRecord record) -> record.member.incarnation())
            .thenComparingLong(MemberRecord::heartbeat)
            .thenComparing(MemberRecord::liveness);

    public MemberRecord {
        Checks.notNull(member, "member");
        Checks.notNull(liveness, "liveness");
    }

    /** Returns the id of the instance. */
    public InstanceId id() {
        return member.id();
    }

    /** Tells whether this record supersedes {@code other}, a record of the same instance. */
    public boolean isNewerThan(MemberRecord other) {
        return PRECEDENCE.compare(this, other) > 0;
    }

    /** Returns the same record with another liveness. */
    public MemberRecord withLiveness(Liveness other) {
        return new MemberRecord(member, heartbeat, other);
    }

    /** Tells whether the instance may be running: it is not believed dead and has not reported that it stopped. */
    public boolean isLive() {
        return liveness != Liveness.DEAD && member.state() != ServingState.STOPPED;
    }
}
