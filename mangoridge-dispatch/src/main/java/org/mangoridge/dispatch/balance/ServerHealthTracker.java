package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerEntry;

/** Tracks the health of all servers from their answers to this instance; confined to one thread. */
public final class ServerHealthTracker {

    private final Map<ServerId, ServerHealth> servers = new HashMap<>();
    private final ZoneReachability zones = new ZoneReachability();

    private ServerHealthTracker() {}

    /** Creates a tracker without any recorded answer. */
    public static ServerHealthTracker create() {
        return new ServerHealthTracker();
    }

    /** Records an answer of a server that is no rejection, and its latency. */
    public void recordAnswer(ServerEntry server, boolean failed, Duration took, Duration now) {
        health(server.id()).recordAnswer(failed, took, now);
        zones.recordAnswer(server.zone());
    }

    /**
     * Records that a server rejected a request and how long that took; returns for how long it is backed off, zero if it
     * may have been full for a moment.
     */
    public Duration recordRejection(ServerEntry server, Duration took, Duration now) {
        ServerHealth health = health(server.id());
        Duration backOff = health.recordRejection(took, now);
        zones.recordAnswer(server.zone());
        return health.isRejecting() ? backOff : Duration.ZERO;
    }

    /** Returns how long a server gets no more requests because it rejected some; zero if it may get one. */
    public Duration backOffRemaining(ServerEntry server, Duration now) {
        ServerHealth health = servers.get(server.id());
        return health == null ? Duration.ZERO : health.backOffRemaining(now);
    }

    /** Records that a server answered a call which tells nothing about its speed or its errors. */
    public void recordReachable(ServerEntry server) {
        zones.recordAnswer(server.zone());
    }

    /** Records that no connection to a server could be opened in time. */
    public void recordUnreachable(ServerEntry server, Duration now) {
        zones.recordUnreachable(server.zone(), server.id(), now);
    }

    /** Records that a server which accepts connections is silent for some time; it is not ejected. */
    public void recordSilence(ServerId server, Duration now) {
        health(server).recordSilence(now);
    }

    /** Records that a server did not answer; returns the length of the new ejection, zero if one is running. */
    public Duration recordNoAnswer(ServerId server, Duration now) {
        return health(server).recordNoAnswer(now);
    }

    /** Records that a request is sent to a server. */
    public void recordSent(ServerId server, Duration now) {
        health(server).recordSent(now);
    }

    /** Records that a request ended without evidence about the server, such as one that was cancelled. */
    public void recordInconclusive(ServerId server) {
        health(server).recordInconclusive();
    }

    /** Tells whether a server may be sent a request: it is reachable, not ejected, and no trial is in flight. */
    public boolean isUsable(ServerEntry server, Duration now) {
        ServerHealth health = servers.get(server.id());
        return !zones.isCutOff(server.zone(), now) && (health == null || health.isUsable(now));
    }

    /** Tells whether a server may be sent a request that would be refused otherwise. */
    public boolean isUsableInNeed(ServerEntry server, Duration now) {
        ServerHealth health = servers.get(server.id());
        return !zones.isCutOff(server.zone(), now) && (health == null || health.isUsableInNeed(now));
    }

    /** Returns the decaying average of the share of failed answers, 0 to 1. */
    public double errorShare(ServerId server, Duration now) {
        ServerHealth health = servers.get(server);
        return health == null ? 0 : health.errorShare(now);
    }

    /** Returns the mean latency in milliseconds; 0 if none was recorded. */
    public double meanLatencyMillis(ServerId server) {
        ServerHealth health = servers.get(server);
        return health == null ? 0 : health.meanLatencyMillis();
    }

    /** Removes the servers that are not in {@code known}. */
    public void retain(Set<ServerId> known) {
        servers.keySet().retainAll(known);
    }

    private ServerHealth health(ServerId server) {
        return servers.computeIfAbsent(server, id -> new ServerHealth());
    }
}
