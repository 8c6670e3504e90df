package org.mangoridge.peer.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/** The other instances, each with the time of its last change. */
final class MemberTable {

    private static final int MAX_MEMBERS = 2048;

    /**
     * An instance.
     *
     * @param sighting what is known of it
     * @param since when its liveness last changed
     */
    record Entry(MemberRecord sighting, Duration since) {}

    private final AvailabilityZone zone;
    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();
    private List<MemberRecord> sightings = List.of();
    private Map<HostPort, List<MemberRecord>> workingByAddress = Map.of();
    private List<Member> near = List.of();
    private List<Member> far = List.of();
    private long workingHash;
    private boolean stale;

    MemberTable(AvailabilityZone zone) {
        this.zone = zone;
    }

    /** Returns what is known of {@code id}, if anything. */
    Optional<MemberRecord> find(InstanceId id) {
        return Optional.ofNullable(entries.get(id)).map(Entry::sighting);
    }

    /** Returns everything known, in the order of names. */
    List<MemberRecord> sightings() {
        refresh();
        return sightings;
    }

    /** Returns how many instances are known. */
    int size() {
        return entries.size();
    }

    Collection<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Tells whether a record of {@code id} can be kept. */
    boolean hasRoomFor(InstanceId id) {
        return entries.size() < MAX_MEMBERS || entries.containsKey(id);
    }

    void put(MemberRecord sighting, Duration now) {
        Entry earlier = entries.get(sighting.id());
        boolean sameLiveness = earlier != null
                && earlier.sighting().liveness() == sighting.liveness()
                && earlier.sighting()
                        .member()
                        .incarnation()
                        .equals(sighting.member().incarnation());
        stale = true;
        entries.put(sighting.id(), new Entry(sighting, sameLiveness ? earlier.since() : now));
    }

    void remove(InstanceId id) {
        stale = true;
        entries.remove(id);
    }

    /** Returns the members of the own zone that may work. */
    List<Member> near() {
        refresh();
        return near;
    }

    /** Returns the members of other zones that may work. */
    List<Member> far() {
        refresh();
        return far;
    }

    /** Returns the members that may work and listen at {@code address}. */
    List<MemberRecord> workingAt(HostPort address) {
        refresh();
        return workingByAddress.getOrDefault(address, List.of());
    }

    /** Returns a hash of the members that may work, the same in whatever order they were learned. */
    long hash(Member self) {
        refresh();
        return workingHash ^ hashOf(self);
    }

    private void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        sightings = entries.values().stream().map(Entry::sighting).toList();
        List<MemberRecord> working =
                sightings.stream().filter(MemberRecord::isLive).toList();
        workingByAddress = working.stream()
                .collect(Collectors.groupingBy(sighting -> sighting.member().address()));
        Map<Boolean, List<Member>> byNearness = working.stream()
                .map(MemberRecord::member)
                .collect(Collectors.partitioningBy(member -> member.zone().equals(zone)));
        near = byNearness.get(true);
        far = byNearness.get(false);
        workingHash = working.stream()
                .mapToLong(sighting -> hashOf(sighting.member()))
                .reduce(0, (one, two) -> one ^ two);
    }

    private static long hashOf(Member member) {
        return Rendezvous.hash(member.id() + "/" + member.incarnation() + "/" + member.state());
    }
}
