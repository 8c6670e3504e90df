package org.mangoridge.peer.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.InstanceId;

/** Queue of membership updates to send with gossip messages, the least transmitted first. */
final class UpdateQueue {

    private static final int MAX_UPDATES_PER_MESSAGE = 6;
    /** Transmissions of an update per bit of the member count, so that they grow with the count's logarithm. */
    private static final int TRANSMISSIONS_PER_BIT = 4;

    private final Map<InstanceId, Integer> transmissions = new LinkedHashMap<>();

    void add(InstanceId id) {
        transmissions.put(id, 0);
    }

    void remove(InstanceId id) {
        transmissions.remove(id);
    }

    /**
     * Returns the members whose updates the next message carries, and counts a transmission of each.
     *
     * @param members the number of members of the group
     */
    List<InstanceId> nextBatch(int members) {
        List<InstanceId> queued = new ArrayList<>(transmissions.keySet());
        queued.sort(Comparator.comparingInt(transmissions::get));
        List<InstanceId> batch = queued.subList(0, Math.min(MAX_UPDATES_PER_MESSAGE, queued.size()));
        int maxTransmissions =
                TRANSMISSIONS_PER_BIT * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members)));
        for (InstanceId id : batch) {
            int count = transmissions.merge(id, 1, Integer::sum);
            if (count >= maxTransmissions) {
                transmissions.remove(id);
            }
        }
        return List.copyOf(batch);
    }
}
