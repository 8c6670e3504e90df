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

/** The records of the other instances, each with the time of its last change of liveness. */
final class MemberTable {

    private static final int MAX_MEMBERS = 2048;

    /**
     * The record of an instance.
     *
     * @param record what is known of the instance
     * @param since when its liveness or its incarnation last changed
     */
    record Entry(MemberRecord record, Duration since) {}

    private final AvailabilityZone zone;
    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();
    private List<MemberRecord> records = List.of();
    private Map<HostPort, List<MemberRecord>> liveByAddress = Map.of();
    private List<Member> ownZone = List.of();
    private List<Member> otherZones = List.of();
    private long liveHash;
    private boolean stale;

    MemberTable(AvailabilityZone zone) {
        this.zone = zone;
    }

    /** Returns the record of {@code id}, if it is known. */
    Optional<MemberRecord> find(InstanceId id) {
        return Optional.ofNullable(entries.get(id)).map(Entry::record);
    }

    /** Returns all records, in the order of the ids. */
    List<MemberRecord> records() {
        refresh();
        return records;
    }

    /** Returns the number of known instances. */
    int size() {
        return entries.size();
    }

    Collection<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Tells whether a record of {@code id} can be stored. */
    boolean hasCapacityFor(InstanceId id) {
        return entries.size() < MAX_MEMBERS || entries.containsKey(id);
    }

    void put(MemberRecord record, Duration now) {
        Entry earlier = entries.get(record.id());
        boolean sameLiveness = earlier != null
                && earlier.record().liveness() == record.liveness()
                && earlier.record()
                        .member()
                        .incarnation()
                        .equals(record.member().incarnation());
        stale = true;
        entries.put(record.id(), new Entry(record, sameLiveness ? earlier.since() : now));
    }

    void remove(InstanceId id) {
        stale = true;
        entries.remove(id);
    }

    /** Returns the live members of the own zone. */
    List<Member> ownZone() {
        refresh();
        return ownZone;
    }

    /** Returns the live members of other zones. */
    List<Member> otherZones() {
        refresh();
        return otherZones;
    }

    /** Returns the records of the live members that listen at {@code address}. */
    List<MemberRecord> liveAt(HostPort address) {
        refresh();
        return liveByAddress.getOrDefault(address, List.of());
    }

    /** Returns a hash of {@code self} and the live members, independent of the order in which they were learned. */
    long viewHash(Member self) {
        refresh();
        return liveHash ^ hashOf(self);
    }

    private void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        records = entries.values().stream().map(Entry::record).toList();
        List<MemberRecord> live = records.stream().filter(MemberRecord::isLive).toList();
        liveByAddress = live.stream()
                .collect(Collectors.groupingBy(record -> record.member().address()));
        Map<Boolean, List<Member>> bySameZone = live.stream()
                .map(MemberRecord::member)
                .collect(Collectors.partitioningBy(member -> member.zone().equals(zone)));
        ownZone = bySameZone.get(true);
        otherZones = bySameZone.get(false);
        liveHash = live.stream().mapToLong(record -> hashOf(record.member())).reduce(0, (one, two) -> one ^ two);
    }

    private static long hashOf(Member member) {
        return Rendezvous.hash(member.id() + "/" + member.incarnation() + "/" + member.state());
    }
}
