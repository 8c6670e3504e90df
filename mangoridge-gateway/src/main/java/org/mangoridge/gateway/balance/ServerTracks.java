package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mangoridge.core.id.ServerId;

/** What this instance has seen of every server's answers; used by one thread. */
public final class ServerTracks {

    private final Map<ServerId, ServerTrack> tracks = new HashMap<>();

    private ServerTracks() {}

    /** Returns tracks without any answer. */
    public static ServerTracks create() {
        return new ServerTracks();
    }

    /** Takes note of an answer of a server. */
    public void answered(ServerId server, boolean failed, Duration took, Duration now) {
        track(server).answered(failed, took, now);
    }

    /** Takes note that a server did not answer; returns how long it is left alone, zero if it already was. */
    public Duration silent(ServerId server, Duration now) {
        return track(server).silent(now);
    }

    /** Takes note that a request is sent to a server. */
    public void sent(ServerId server) {
        track(server).sent();
    }

    /** Takes note that a request ended without saying anything of the server. */
    public void withdrawn(ServerId server) {
        track(server).withdrawn();
    }

    /** Tells whether a server may be given work. */
    public boolean usable(ServerId server, Duration now) {
        ServerTrack track = tracks.get(server);
        return track == null || track.usable(now);
    }

    /** Returns the share of failed answers lately, 0 to 1. */
    public double errorShare(ServerId server, Duration now) {
        ServerTrack track = tracks.get(server);
        return track == null ? 0 : track.errorShare(now);
    }

    /** Returns the mean time of an answer in milliseconds; 0 if none was seen. */
    public double delayMillis(ServerId server) {
        ServerTrack track = tracks.get(server);
        return track == null ? 0 : track.delayMillis();
    }

    /** Forgets servers that are not in {@code known}. */
    public void retain(Set<ServerId> known) {
        tracks.keySet().retainAll(known);
    }

    private ServerTrack track(ServerId server) {
        return tracks.computeIfAbsent(server, id -> new ServerTrack());
    }
}
