package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mangoridge.core.id.ServerId;

/** What this instance has seen of every server's answers; used by one thread. */
public final class ServerHealthTracker {

    private final Map<ServerId, ServerHealth> tracks = new HashMap<>();

    private ServerHealthTracker() {}

    /** Returns tracks without any answer. */
    public static ServerHealthTracker create() {
        return new ServerHealthTracker();
    }

    /** Takes note of an answer of a server. */
    public void recordAnswer(ServerId server, boolean failed, Duration took, Duration now) {
        track(server).recordAnswer(failed, took, now);
    }

    /** Takes note that a server did not answer; returns how long it is left alone, zero if it already was. */
    public Duration recordNoAnswer(ServerId server, Duration now) {
        return track(server).recordNoAnswer(now);
    }

    /** Takes note that a request is sent to a server. */
    public void recordSent(ServerId server) {
        track(server).recordSent();
    }

    /** Takes note that a request ended without saying anything of the server. */
    public void recordInconclusive(ServerId server) {
        track(server).recordInconclusive();
    }

    /** Tells whether a server may be given work. */
    public boolean isUsable(ServerId server, Duration now) {
        ServerHealth track = tracks.get(server);
        return track == null || track.isUsable(now);
    }

    /** Returns the share of failed answers lately, 0 to 1. */
    public double errorShare(ServerId server, Duration now) {
        ServerHealth track = tracks.get(server);
        return track == null ? 0 : track.errorShare(now);
    }

    /** Returns the mean time of an answer in milliseconds; 0 if none was seen. */
    public double meanLatencyMillis(ServerId server) {
        ServerHealth track = tracks.get(server);
        return track == null ? 0 : track.meanLatencyMillis();
    }

    /** Forgets servers that are not in {@code known}. */
    public void retain(Set<ServerId> known) {
        tracks.keySet().retainAll(known);
    }

    private ServerHealth track(ServerId server) {
        return tracks.computeIfAbsent(server, id -> new ServerHealth());
    }
}
