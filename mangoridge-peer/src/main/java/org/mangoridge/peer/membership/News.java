package org.mangoridge.peer.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.InstanceId;

/** The changes that have yet to be told, the least told first. */
final class News {

    private static final int PER_MESSAGE = 6;
    private static final int TELLINGS_PER_DOUBLING = 4;

    private final Map<InstanceId, Integer> told = new LinkedHashMap<>();

    void add(InstanceId id) {
        told.put(id, 0);
    }

    void forget(InstanceId id) {
        told.remove(id);
    }

    /** Returns what the next message tells, and counts it as told; {@code members} is the size of the group. */
    List<InstanceId> take(int members) {
        List<InstanceId> next = new ArrayList<>(told.keySet());
        next.sort(Comparator.comparingInt(told::get));
        List<InstanceId> chosen = next.subList(0, Math.min(PER_MESSAGE, next.size()));
        int enough = TELLINGS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members)));
        for (InstanceId id : chosen) {
            int count = told.merge(id, 1, Integer::sum);
            if (count >= enough) {
                told.remove(id);
            }
        }
        return List.copyOf(chosen);
    }
}
