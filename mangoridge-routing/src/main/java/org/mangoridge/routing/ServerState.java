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
    private final TokenPace pace = new TokenPace();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final Calibration prefillCalibration = new Calibration();
    private final Calibration transferCalibration = new Calibration();
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

    TokenPace pace() {
        return pace;
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    Calibration prefillCalibration() {
        return prefillCalibration;
    }

    Calibration transferCalibration() {
        return transferCalibration;
    }

    /** Takes over a changed entry of the configuration and the service that it names. */
    void configure(Server changed, Service changedService) {
        server = changed;
        service = changedService;
        checkModel();
    }

    /** Takes a report in. */
    void reported(ServerLoad load, long nowNanos) {
        estimate.reported(load);
        health.reported(nowNanos);
        checkModel();
    }

    /** Notes that a report was asked for in vain; a server that was away has lost its prefix cache. */
    void reportMissed() {
        health.reportMissed();
        prefixes.clear();
    }

    /** Takes changes of the prefix cache in. */
    void cacheChanged(List<RoutingEvent.CacheChange> changes, long nowNanos) {
        for (RoutingEvent.CacheChange change : changes) {
            if (change.stored()) {
                prefixes.stored(change.prefix(), nowNanos);
            } else {
                prefixes.evicted(change.prefix());
            }
        }
    }

    /** Tells whether the server said that it has the model of its service, and isn't leaving. */
    boolean isServing() {
        return rightModel && !health.isLeaving();
    }

    private void checkModel() {
        ServerLoad load = estimate.load();
        rightModel = load != null
                && service.version().equals(load.version())
                && service.model().value().equals(load.model());
    }
}
