package org.mangoridge.gateway.stage;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

/**
 * Decides which server of a model service should change its stage; stateless.
 *
 * <p>A request occupies a prefill server for about a tenth of a second and the KV cache of a decode server for seconds,
 * so decode capacity is exhausted first. Decode servers can run prefills when the prefill servers are overloaded;
 * prefill servers cannot generate.
 */
public final class StageRebalancer {

    /** Target fraction of prefill servers: the ratio of prefill time to decode time, with a reserve. */
    private static final double PREFILL_FRACTION = 0.25;
    /** Missing prefill servers that are tolerated, since decode servers can run prefills. */
    private static final int TOLERATED_PREFILL_SHORTAGE = 1;
    /** Minimum number of decode servers before one of them becomes a prefill server. */
    private static final int MIN_DECODE_SERVERS = 3;

    private StageRebalancer() {}

    /**
     * Returns the next change; empty if none is needed.
     *
     * @param servers the service's servers that accept new requests, with the stages that they have or were ordered to take
     * @param load the load of a server; the least loaded one changes first
     */
    public static Optional<StageChange> nextChange(List<ServerEntry> servers, ToLongFunction<ServerEntry> load) {
        List<ServerEntry> prefill = inStage(servers, ServerStage.PREFILL);
        List<ServerEntry> decode = inStage(servers, ServerStage.DECODE);
        int count = prefill.size() + decode.size();
        int wanted = (int) Math.max(1, Math.round(count * PREFILL_FRACTION));
        if (prefill.size() > wanted || (decode.isEmpty() && prefill.size() > 1)) {
            return pick(prefill, load).map(server -> new StageChange(server, ServerStage.DECODE));
        }
        boolean lacksPrefill = prefill.isEmpty() || prefill.size() < wanted - TOLERATED_PREFILL_SHORTAGE;
        if (lacksPrefill && decode.size() >= MIN_DECODE_SERVERS) {
            return pick(decode, load).map(server -> new StageChange(server, ServerStage.PREFILL));
        }
        return Optional.empty();
    }

    private static List<ServerEntry> inStage(List<ServerEntry> servers, ServerStage stage) {
        return servers.stream().filter(server -> server.stage() == stage).toList();
    }

    /** Returns the least loaded server of the zone that has most of {@code servers}, so that each zone keeps some. */
    private static Optional<ServerEntry> pick(List<ServerEntry> servers, ToLongFunction<ServerEntry> load) {
        Map<AvailabilityZone, Long> inZone =
                servers.stream().collect(Collectors.groupingBy(ServerEntry::zone, Collectors.counting()));
        return servers.stream()
                .min(Comparator.comparing((ServerEntry server) -> -inZone.get(server.zone()))
                        .thenComparingLong(load)
                        .thenComparing(ServerEntry::id));
    }
}
