package org.mangoridge.peer.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;

/**
 * An immutable snapshot of what one instance knows of all others.
 *
 * <p>The views of two instances may differ at any time, so a view must not decide anything that requires agreement.
 *
 * @param self the instance itself
 * @param others the records of the other instances, in the order of their ids
 * @param isolated whether several peers are known and none answers, so that this instance may be the one cut off
 */
public record PeerView(Member self, List<MemberRecord> others, boolean isolated) {

    public PeerView {
        others = List.copyOf(others);
    }

    /** Returns the record of {@code id}, if it is known. */
    public Optional<MemberRecord> find(InstanceId id) {
        return others.stream().filter(record -> record.id().equals(id)).findFirst();
    }

    /** Returns the live members of all zones, this instance included. */
    public List<Member> live() {
        return liveMembers(others, self);
    }

    /** Returns the live members of {@code zone}, this instance included if it is in that zone. */
    public List<Member> liveIn(AvailabilityZone zone) {
        return live().stream().filter(member -> member.zone().equals(zone)).toList();
    }

    /** Returns the live members of this instance's zone, this instance included. */
    public List<Member> liveInZone() {
        return liveIn(self.zone());
    }

    /** Returns the records of the instances believed dead. */
    public List<MemberRecord> dead() {
        return others.stream()
                .filter(record -> record.liveness() == Liveness.DEAD)
                .toList();
    }

    private static List<Member> liveMembers(Collection<MemberRecord> records, Member self) {
        return Stream.concat(
                        Stream.of(self),
                        records.stream().filter(MemberRecord::isLive).map(MemberRecord::member))
                .sorted(Comparator.comparing(Member::id))
                .toList();
    }
}
