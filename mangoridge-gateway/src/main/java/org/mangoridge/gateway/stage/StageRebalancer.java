package org.mangoridge.gateway.stage;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.directory.ServerStage;

/**
 * Says which server of a model service should change its stage; pure.
 *
 * <p>A prompt occupies a prefill server for about a tenth of a second and the memory of a decode server for seconds, so
 * that decode servers run out first. Decode servers can read prompts themselves when prefill is behind; prefill servers
 * can't generate.
 */
public final class StageRebalancer {

    /** The part of a service's servers that reads prompts: time of prefill against time of decode, with a reserve. */
    private static final double PREFILL_PART = 0.25;
    /** Missing prefill servers that are put up with, since decode servers can stand in. */
    private static final int TOLERATED_LACK = 1;
    /** Decode servers that a service must have before one of them is turned into a prefill server. */
    private static final int LEAST_DECODE = 3;

    private StageRebalancer() {}

    /**
     * Returns the next change; empty if the stages are as they should be.
     *
     * @param servers the service's servers that take new work, with the stages that they have or were ordered to take
     * @param load how loaded a server is; the least loaded changes first
     */
    public static Optional<StageChange> nextChange(List<ServerEntry> servers, ToLongFunction<ServerEntry> load) {
        List<ServerEntry> prefill = inStage(servers, ServerStage.PREFILL);
        List<ServerEntry> decode = inStage(servers, ServerStage.DECODE);
        int count = prefill.size() + decode.size();
        int wanted = (int) Math.max(1, Math.round(count * PREFILL_PART));
        if (prefill.size() > wanted || (decode.isEmpty() && prefill.size() > 1)) {
            return pick(prefill, load).map(server -> new StageChange(server, ServerStage.DECODE));
        }
        boolean lacksPrefill = prefill.isEmpty() || prefill.size() < wanted - TOLERATED_LACK;
        if (lacksPrefill && decode.size() >= LEAST_DECODE) {
            return pick(decode, load).map(server -> new StageChange(server, ServerStage.PREFILL));
        }
        return Optional.empty();
    }

    private static List<ServerEntry> inStage(List<ServerEntry> servers, ServerStage stage) {
        return servers.stream().filter(server -> server.stage() == stage).toList();
    }

    /** Returns the least loaded server of the zone that has most of them, so that each zone keeps some. */
    private static Optional<ServerEntry> pick(List<ServerEntry> servers, ToLongFunction<ServerEntry> load) {
        Map<AvailabilityZone, Long> inZone =
                servers.stream().collect(Collectors.groupingBy(ServerEntry::zone, Collectors.counting()));
        return servers.stream()
                .min(Comparator.comparing((ServerEntry server) -> -inZone.get(server.zone()))
                        .thenComparingLong(load)
                        .thenComparing(ServerEntry::id));
    }
}
