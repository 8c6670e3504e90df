package org.mangoridge.dispatch.directory;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;

/**
 * A server as it describes itself in its entry.
 *
 * @param id the id of this run of the server
 * @param service the service that it belongs to
 * @param address where it listens
 * @param zone where it runs
 * @param slots requests that it processes concurrently
 * @param leaving whether it drains and accepts no new requests
 * @param stage its stage in serving model requests
 * @param startedMillis when it started, as Unix milliseconds; a later run under the same id has none of the state of this one
 * @param sequence increases with each entry that this run writes; {@link #UNKNOWN_SEQUENCE} if the entry states none
 */
public record ServerEntry(
        ServerId id,
        ServiceId service,
        HostPort address,
        AvailabilityZone zone,
        int slots,
        boolean leaving,
        ServerStage stage,
        long startedMillis,
        long sequence) {

    /** The sequence of an entry that does not state one. */
    public static final long UNKNOWN_SEQUENCE = -1;

    /** Bounds the slots, far above those of any server, so that no sum over servers overflows and none draws all work. */
    private static final int MAX_SLOTS = 1 << 16;

    public ServerEntry {
        Checks.notNull(id, "id");
        Checks.notNull(service, "service");
        Checks.notNull(address, "address");
        Checks.notNull(zone, "zone");
        Checks.argument(slots > 0 && slots <= MAX_SLOTS, "slots must be between 1 and %d: %d", MAX_SLOTS, slots);
        Checks.notNull(stage, "stage");
    }

    /** Returns a copy with another stage. */
    public ServerEntry withStage(ServerStage other) {
        return new ServerEntry(id, service, address, zone, slots, leaving, other, startedMillis, sequence);
    }

    /** Returns a copy that drains. */
    ServerEntry withLeaving() {
        return new ServerEntry(id, service, address, zone, slots, true, stage, startedMillis, sequence);
    }

    /** Tells whether this entry was written before {@code other}, by the same run or an earlier one. */
    boolean isOlderThan(ServerEntry other) {
        if (startedMillis != other.startedMillis) {
            return startedMillis < other.startedMillis;
        }
        return sequence != UNKNOWN_SEQUENCE && sequence < other.sequence;
    }

    /** Tells whether this entry is {@code other}, or was written before it. */
    boolean isNotNewerThan(ServerEntry other) {
        boolean sameWrite = startedMillis == other.startedMillis && sequence == other.sequence;
        return sameWrite || isOlderThan(other);
    }
}
