package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mangoridge.core.id.ServerId;

/** Tracks the health of all servers from their answers to this instance; confined to one thread. */
public final class ServerHealthTracker {

    private final Map<ServerId, ServerHealth> servers = new HashMap<>();

    private ServerHealthTracker() {}

    /** Creates a tracker without any recorded answer. */
    public static ServerHealthTracker create() {
        return new ServerHealthTracker();
    }

    /** Records an answer of a server and its latency. */
    public void recordAnswer(ServerId server, boolean failed, Duration took, Duration now) {
        health(server).recordAnswer(failed, took, now);
    }

    /** Records that a server did not answer; returns the length of the new ejection, zero if one is running. */
    public Duration recordNoAnswer(ServerId server, Duration now) {
        return health(server).recordNoAnswer(now);
    }

    /** Records that a request is sent to a server. */
    public void recordSent(ServerId server) {
        health(server).recordSent();
    }

    /** Records that a request ended without evidence about the server, such as one that was cancelled. */
    public void recordInconclusive(ServerId server) {
        health(server).recordInconclusive();
    }

    /** Tells whether a server may be sent a request: it is not ejected and no trial is in flight. */
    public boolean isUsable(ServerId server, Duration now) {
        ServerHealth health = servers.get(server);
        return health == null || health.isUsable(now);
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
