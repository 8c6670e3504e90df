package org.mangoridge.routing;

import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;

/** The state that this instance keeps for one server. */
final class ServerState {

    private final LoadEstimate estimate = new LoadEstimate();
    private final ServerHealth health;
    private final TokenLatencyModel tokenLatency = new TokenLatencyModel();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final ForecastCalibration prefillCalibration = new ForecastCalibration();
    private final ForecastCalibration transferCalibration = new ForecastCalibration();
    private Server server;
    private Service service;
    private boolean modelMatches;

    ServerState(Server server, Service service, RandomGenerator random) {
        this.server = server;
        this.service = service;
        this.health = new ServerHealth(random);
    }

    ServerId id() {
        return server.id();
    }

    Server server() {
        return server;
    }

    LoadEstimate estimate() {
        return estimate;
    }

    ServerHealth health() {
        return health;
    }

    TokenLatencyModel tokenLatency() {
        return tokenLatency;
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    ForecastCalibration prefillCalibration() {
        return prefillCalibration;
    }

    ForecastCalibration transferCalibration() {
        return transferCalibration;
    }

    /** Replaces the configuration of the server and its service. */
    void configure(Server changed, Service changedService) {
        server = changed;
        service = changedService;
        updateModelMatch();
    }

    /** Applies a load report. */
    void applyReport(ServerLoad load, long nowNanos) {
        estimate.applyReport(load);
        health.recordReport(nowNanos);
        updateModelMatch();
    }

    /** Records an unanswered load query and clears the prefix index, since the server may have restarted. */
    void recordMissedReport() {
        health.recordMissedReport();
        prefixes.clear();
    }

    /** Applies reported changes of the prefix cache. */
    void applyCacheChanges(List<RoutingEvent.CacheChange> changes, long nowNanos) {
        for (RoutingEvent.CacheChange change : changes) {
            if (change.stored()) {
                prefixes.add(change.prefix(), nowNanos);
            } else {
                prefixes.remove(change.prefix());
            }
        }
    }

    /** Returns whether the server reports the model of its service and isn't leaving. */
    boolean isServing() {
        return modelMatches && !health.isLeaving();
    }

    private void updateModelMatch() {
        ServerLoad load = estimate.lastReport();
        modelMatches = load != null
                && service.version().equals(load.version())
                && service.model().value().equals(load.model());
    }
}
