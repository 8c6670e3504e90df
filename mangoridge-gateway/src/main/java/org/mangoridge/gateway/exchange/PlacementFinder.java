package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.balance.EnginePlacement;
import org.mangoridge.dispatch.balance.PlacementTarget;
import org.mangoridge.dispatch.balance.QueueDeadlines;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.directory.ServerStage;

/** Finds the servers of one model request, without those that failed it before; used on the event loop. */
final class PlacementFinder {

    /**
     * Share of the latency target within which the first token of a late request must be expected for it to be placed,
     * so that late requests do not delay those that can still be on time.
     */
    private static final double LATE_REQUEST_TARGET_SHARE = 0.5;

    private final GatewayContext context;
    private final RequestScope scope;
    private final EngineSpec spec;
    private final QueueDeadlines deadlines;
    private final Set<ServerId> excluded = new HashSet<>();

    PlacementFinder(GatewayContext context, RequestScope scope, EngineSpec spec, QueueDeadlines deadlines) {
        this.context = context;
        this.scope = scope;
        this.spec = spec;
        this.deadlines = deadlines;
    }

    /** Leaves a server out from now on. */
    void exclude(ServerEntry server) {
        excluded.add(server.id());
    }

    List<ServerEntry> servers() {
        return context.directory().usable(scope.service());
    }

    /** Returns whether the run of a server that was chosen before still accepts requests. */
    boolean isUsable(ServerEntry server) {
        return context.directory()
                .find(server.id())
                .filter(known -> !known.leaving() && known.startedMillis() == server.startedMillis())
                .isPresent();
    }

    /** Returns the servers to which the request can be sent now; empty if it has to wait. */
    Optional<EnginePlacement> find() {
        Duration now = context.now();
        Duration within = deadlines.onTimeUntil().minus(now);
        PlacementTarget.Lateness lateness = deadlines.lateness(now);
        if (lateness != PlacementTarget.Lateness.ON_TIME) {
            within = Duration.ofNanos((long) (scope.route().latencyTarget().toNanos() * LATE_REQUEST_TARGET_SHARE));
        }
        EnginePlacement placement = context.engineBalancer()
                .choose(
                        servers(),
                        spec,
                        scope.caller().tokens(),
                        excluded,
                        new PlacementTarget(within, scope.route().gapTarget(), lateness),
                        now);
        return placement instanceof EnginePlacement.NoCapacity ? Optional.empty() : Optional.of(placement);
    }

    /** Returns a decode server for a KV cache that another one did not import; empty if there is none now. */
    Optional<ServerEntry> findDecodeOtherThan(ServerEntry server) {
        Set<ServerId> others = new HashSet<>(excluded);
        others.add(server.id());
        return context.engineBalancer()
                .chooseDecode(servers(), spec, scope.caller().tokens(), others, context.now());
    }

    /** Returns when the first pause of a decode server ends; empty if one takes requests now. */
    Optional<Duration> firstPauseEnd() {
        List<ServerEntry> decodeServers = servers().stream()
                .filter(server -> server.stage() != ServerStage.PREFILL)
                .toList();
        return context.limiter().firstPauseEnd(decodeServers, context.now());
    }

    /** Returns whether a server has announced a limit. */
    boolean isLimited(ServerEntry server) {
        return context.limiter().limit(ServerRun.of(server)).isPresent();
    }
}
