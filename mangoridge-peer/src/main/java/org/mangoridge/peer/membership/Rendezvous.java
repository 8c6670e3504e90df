package org.mangoridge.peer.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.mangoridge.core.id.InstanceId;

/**
 * Rendezvous hashing: ranks instances for a key. Instances with the same view get the same ranking, and a member that
 * joins or leaves does not change the order of the others.
 */
public final class Rendezvous {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_FACTOR_2 = 0x94d049bb133111ebL;

    private Rendezvous() {}

    /** Returns {@code members} in the order of their rank for {@code key}, the highest first. */
    public static List<InstanceId> rank(String key, Collection<InstanceId> members) {
        return members.stream()
                .sorted(Comparator.comparingLong((InstanceId id) -> hash(key + '\n' + id.value()))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Returns a uniformly distributed hash of {@code text}, the same on every machine. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * MIX_FACTOR_1;
        hash = (hash ^ (hash >>> 27)) * MIX_FACTOR_2;
        return hash ^ (hash >>> 31);
    }
}
