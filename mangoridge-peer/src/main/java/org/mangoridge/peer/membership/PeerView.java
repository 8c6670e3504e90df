package org.mangoridge.peer.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;

/**
 * What one instance knows of all others at one moment; immutable.
 *
 * <p>Two instances may hold different views at any time. Nothing that must be agreed may rest on one.
 *
 * @param self the instance's own record
 * @param others what it knows of the others, in the order of their names
 * @param isolated whether no peer answers although several were known, so that this instance may be the one cut off
 */
public record PeerView(Member self, List<MemberRecord> others, boolean isolated) {

    public PeerView {
        others = List.copyOf(others);
    }

    /** Returns the record of {@code id}, if it is known. */
    public Optional<MemberRecord> find(InstanceId id) {
        return others.stream().filter(sighting -> sighting.id().equals(id)).findFirst();
    }

    /** Returns the members that may work, this instance included, of every zone. */
    public List<Member> live() {
        return working(others, self);
    }

    /** Returns the members of {@code zone} that may work, this instance included if it is in that zone. */
    public List<Member> liveIn(AvailabilityZone zone) {
        return live().stream().filter(member -> member.zone().equals(zone)).toList();
    }

    /** Returns the members of this instance's zone that may work, this instance included. */
    public List<Member> liveInZone() {
        return liveIn(self.zone());
    }

    /** Returns the instances believed dead. */
    public List<MemberRecord> dead() {
        return others.stream()
                .filter(sighting -> sighting.liveness() == Liveness.DEAD)
                .toList();
    }

    private static List<Member> working(Collection<MemberRecord> sightings, Member self) {
        return Stream.concat(
                        Stream.of(self),
                        sightings.stream().filter(MemberRecord::isLive).map(MemberRecord::member))
                .sorted(Comparator.comparing(Member::id))
                .toList();
    }
}
