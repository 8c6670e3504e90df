package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

/** Tracks the health of all servers from their answers to this instance; confined to one thread. */
public final class ServerHealthTracker {

    /** Plain requests have no expected duration; they are compared with each other. */
    private static final Duration PLAIN_REQUEST = Duration.ofMillis(1);

    private final Map<ServerId, ServerHealth> servers = new HashMap<>();
    private final ZoneReachability zones = new ZoneReachability();

    /** Empty if no server is paced. */
    private final Optional<ServerPace> pace;

    private ServerHealthTracker(Optional<ServerPace> pace) {
        this.pace = pace;
    }

    /** Creates a tracker without any recorded answer, which paces no server. */
    public static ServerHealthTracker create() {
        return new ServerHealthTracker(Optional.empty());
    }

    /** Creates a tracker without any recorded answer, which tells {@code pace} what it records. */
    public static ServerHealthTracker create(ServerPace pace) {
        return new ServerHealthTracker(Optional.of(pace));
    }

    /** Records an answer of a server that is no rejection, and its latency. */
    public void recordAnswer(ServerEntry server, boolean failed, Duration took, Duration now) {
        health(server.id()).recordAnswer(failed, took, now);
        zones.recordAnswer(server.zone());
        if (failed) {
            pace.ifPresent(each -> each.recordFailure(server.id(), took, now));
        } else if (server.stage() == ServerStage.NONE) {
            recordWork(server, took, PLAIN_REQUEST, now);
        }
    }

    /**
     * Records how long a model server took for a prefill, or for the steps up to the first event of a stream.
     *
     * @param expected how long that is expected to take at a server of nominal speed
     */
    public void recordWork(ServerEntry server, Duration took, Duration expected, Duration now) {
        if (pace.isPresent() && pace.get().recordWork(server, took, expected, now)) {
            health(server.id()).resetLatency(took);
        }
    }

    /**
     * Records that a server rejected a request and how long that took; returns for how long it is backed off, zero if it
     * may have been full for a moment.
     */
    public Duration recordRejection(ServerEntry server, Duration took, Duration now) {
        ServerHealth health = health(server.id());
        Duration backOff = health.recordRejection(took, now);
        zones.recordAnswer(server.zone());
        pace.ifPresent(each -> each.recordFailure(server.id(), took, now));
        if (!health.isRejecting()) {
            return Duration.ZERO;
        }
        beginPace(server.id(), now.plus(backOff));
        return backOff;
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
        if (zones.isCutOff(server.zone(), now)) {
            pace.ifPresent(each -> each.beginZone(server.zone()));
        }
    }

    /** Records that a server which accepts connections is silent for some time; it is not ejected. */
    public void recordSilence(ServerId server, Duration now) {
        health(server).recordSilence(now);
    }

    /** Records that a server did not answer; returns the length of the new ejection, zero if one is running. */
    public Duration recordNoAnswer(ServerId server, Duration now) {
        Duration ejection = health(server).recordNoAnswer(now);
        if (ejection.isPositive()) {
            beginPace(server, now.plus(ejection));
        }
        return ejection;
    }

    private void beginPace(ServerId server, Duration ejectedUntil) {
        pace.ifPresent(each -> each.begin(server, ServerPace.Cause.EJECTED, ejectedUntil));
    }

    /** Records that a request is sent to a server. */
    public void recordSent(ServerEntry server, Duration now) {
        health(server.id()).recordSent(now);
        pace.ifPresent(each -> each.recordSent(server));
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

    /**
     * Returns the servers that their pace permits a request now; of a stage without any such server, all of it.
     *
     * @param usable servers of one service that may be sent a request
     */
    List<ServerEntry> withinPace(List<ServerEntry> usable, Duration now) {
        if (pace.isEmpty()) {
            return usable;
        }
        usable.forEach(server -> reviewSlow(server, now));
        Map<ServerStage, ServerEntry> unpaced = new EnumMap<>(ServerStage.class);
        List<ServerEntry> within = withinPace(usable, server -> {
            boolean permitted = pace.get().permits(server, now);
            if (permitted && !pace.get().isPaced(server.id())) {
                unpaced.putIfAbsent(server.stage(), server);
            }
            return permitted;
        });
        unpaced.values().forEach(server -> pace.get().recordUnpacedUsable(server, now));
        return within;
    }

    /** Returns the same as {@link #withinPace} would, and begins no pace and draws no turn. */
    List<ServerEntry> wouldBeWithinPace(List<ServerEntry> usable, Duration now) {
        return pace.isEmpty() ? usable : withinPace(usable, server -> wouldBePermitted(server, now));
    }

    private boolean wouldBePermitted(ServerEntry server, Duration now) {
        ServerHealth health = servers.get(server.id());
        boolean slow = health != null
                && server.stage() == ServerStage.NONE
                && pace.orElseThrow().isUnseenAndSlow(server, health.meanLatencyMillis(), health.lastAnswer(), now);
        return pace.orElseThrow().wouldPermit(server, slow, now);
    }

    private static List<ServerEntry> withinPace(List<ServerEntry> usable, Predicate<ServerEntry> permitted) {
        Set<ServerId> held = new HashSet<>();
        Set<ServerStage> stages = EnumSet.noneOf(ServerStage.class);
        for (ServerEntry server : usable) {
            if (permitted.test(server)) {
                stages.add(server.stage());
            } else {
                held.add(server.id());
            }
        }
        return held.isEmpty()
                ? usable
                : usable.stream()
                        .filter(server -> !held.contains(server.id()) || !stages.contains(server.stage()))
                        .toList();
    }

    private void reviewSlow(ServerEntry server, Duration now) {
        ServerHealth health = servers.get(server.id());
        if (health != null && server.stage() == ServerStage.NONE) {
            pace.orElseThrow().reviewSlow(server, health.meanLatencyMillis(), health.lastAnswer(), now);
        }
    }

    /**
     * Returns the latency in milliseconds by which a server competes with others: the mean of its answers, or what is
     * usual at the others for one that its pace permits a request. 0 if none is known.
     */
    double competingLatencyMillis(ServerEntry server, Duration now) {
        boolean paced = pace.isPresent()
                && pace.get().isPaced(server.id())
                && pace.get().permits(server, now);
        return paced ? pace.get().usualMillis(server) : meanLatencyMillis(server.id());
    }

    /** Returns the same as {@link #competingLatencyMillis} would, and begins no pace and draws no turn. */
    double previewLatencyMillis(ServerEntry server, Duration now) {
        boolean paced = pace.isPresent() && pace.get().isPaced(server.id()) && wouldBePermitted(server, now);
        return paced ? pace.get().usualMillis(server) : meanLatencyMillis(server.id());
    }

    /** Returns the same as {@link #errorShare} would, and leaves the averages as they are. */
    public double previewErrorShare(ServerId server, Duration now) {
        ServerHealth health = servers.get(server);
        return health == null ? 0 : health.previewErrorShare(now);
    }

    /** Removes the servers that are not in {@code known}. */
    public void retain(Set<ServerId> known) {
        servers.keySet().retainAll(known);
        pace.ifPresent(each -> each.retain(known));
    }

    private ServerHealth health(ServerId server) {
        return servers.computeIfAbsent(server, id -> new ServerHealth());
    }
}
