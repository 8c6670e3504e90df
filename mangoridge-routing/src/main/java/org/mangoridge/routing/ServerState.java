package org.mangoridge.routing;

import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;

/** What this instance knows of one server. */
final class ServerState {

    private final LoadEstimate estimate = new LoadEstimate();
    private final ServerHealth health;
    private final TokenLatencyModel pace = new TokenLatencyModel();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final ForecastCalibration prefillCalibration = new ForecastCalibration();
    private final ForecastCalibration transferCalibration = new ForecastCalibration();
    private Server server;
    private Service service;
    private boolean rightModel;

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
        return pace;
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

    /** Takes over a changed entry of the configuration and the service that it names. */
    void configure(Server changed, Service changedService) {
        server = changed;
        service = changedService;
        updateModelMatch();
    }

    /** Takes a report in. */
    void applyReport(ServerLoad load, long nowNanos) {
        estimate.applyReport(load);
        health.recordReport(nowNanos);
        updateModelMatch();
    }

    /** Notes that a report was asked for in vain; a server that was away has lost its prefix cache. */
    void recordMissedReport() {
        health.recordMissedReport();
        prefixes.clear();
    }

    /** Takes changes of the prefix cache in. */
    void applyCacheChanges(List<RoutingEvent.CacheChange> changes, long nowNanos) {
        for (RoutingEvent.CacheChange change : changes) {
            if (change.stored()) {
                prefixes.add(change.prefix(), nowNanos);
            } else {
                prefixes.remove(change.prefix());
            }
        }
    }

    /** Tells whether the server said that it has the model of its service, and isn't leaving. */
    boolean isServing() {
        return rightModel && !health.isLeaving();
    }

    private void updateModelMatch() {
        ServerLoad load = estimate.lastReport();
        rightModel = load != null
                && service.version().equals(load.version())
                && service.model().value().equals(load.model());
    }
}
