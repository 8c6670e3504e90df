package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.directory.ServerRun;

/**
 * The demand of all instances for each service, by which they share limits; confined to one thread.
 *
 * <p>Every instance computes its own part from what all have told. The part is the smallest of the last
 * {@link #SETTLING_TIME}: one that falls does so at once, and one that rises only when all others know the reason.
 */
final class FleetDemand {

    /** Time in which a report of an instance reaches all others, with a lost datagram or two. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(4);
    /** Time between two views that are remembered. */
    private static final Duration VIEW_INTERVAL = Duration.ofMillis(250);
    /** Time between two views from which the process has stood still, and others may have taken over its part. */
    private static final Duration MAX_VIEW_GAP = Duration.ofSeconds(2);
    /** How long the part of an instance is left to it after the last report: the network may be cut between both. */
    static final Duration LOST_RETENTION = Duration.ofSeconds(60);

    private final InstanceId self;
    private final Map<InstanceId, Member> peers = new HashMap<>();
    private final Map<ServiceId, DemandMeter> meters = new HashMap<>();
    private final Deque<View> views = new ArrayDeque<>();
    private Duration startedAt;

    /**
     * A peer.
     *
     * @param weights its demand by service, where it is not idle
     * @param lostAt when it was no longer heard; null if it is
     * @param kept the parts that are left to it while it is not heard
     */
    private record Member(Map<ServiceId, Integer> weights, Duration lostAt, Map<ServiceId, Double> kept) {

        int weight(ServiceId service) {
            return weights.getOrDefault(service, DemandMeter.IDLE_WEIGHT);
        }
    }

    private record View(Duration at, Map<ServiceId, Integer> own, Map<InstanceId, Member> peers) {

        /** Returns the part of each weight that is heard, after what is left to those that are not. */
        private double partPerWeight(ServiceId service) {
            double free = 1;
            long weights = own.getOrDefault(service, DemandMeter.IDLE_WEIGHT);
            for (Member peer : peers.values()) {
                if (peer.lostAt() == null) {
                    weights += peer.weight(service);
                } else {
                    free -= peer.kept().getOrDefault(service, idlePart());
                }
            }
            return Math.max(0, free) / weights;
        }

        private double idlePart() {
            return 1.0 / (peers.size() + 1);
        }

        /** Returns this instance's part of a limit that all members share. */
        private double part(ServiceId service) {
            return own.getOrDefault(service, DemandMeter.IDLE_WEIGHT) * partPerWeight(service);
        }

        /** Returns the number of members that come before this instance in the order for a run of a server. */
        private int rank(InstanceId self, ServiceId service, ServerRun run) {
            double score = score(self, own.getOrDefault(service, DemandMeter.IDLE_WEIGHT), run);
            int rank = 0;
            for (Map.Entry<InstanceId, Member> peer : peers.entrySet()) {
                if (score(peer.getKey(), peer.getValue().weight(service), run) > score) {
                    rank++;
                }
            }
            return rank;
        }

        /** Weighted rendezvous hashing: the same at all instances, and higher in proportion to the weight. */
        private static double score(InstanceId instance, int weight, ServerRun run) {
            long hash = instance.value().hashCode() * 0x9E3779B97F4A7C15L
                    + run.server().value().hashCode() * 0xD6E8FEB86659FD93L
                    + run.startedMillis();
            hash = (hash ^ hash >>> 32) * 0xD6E8FEB86659FD93L;
            hash = (hash ^ hash >>> 32) * 0xD6E8FEB86659FD93L;
            double uniform = ((hash ^ hash >>> 32) >>> 11) * 0x1.0p-53;
            return -weight / Math.log(Math.max(uniform, Double.MIN_NORMAL));
        }
    }

    FleetDemand(InstanceId self) {
        this.self = self;
    }

    /** Records a request of a caller for a service. */
    void recordRequest(ServiceId service, Duration now) {
        meters.computeIfAbsent(service, id -> new DemandMeter()).record(now);
    }

    /** Returns the demand of this instance by service, as it is told to peers; idle services are absent. */
    Map<ServiceId, Integer> ownWeights(Duration now) {
        Map<ServiceId, Integer> weights = new HashMap<>();
        meters.forEach((service, meter) -> {
            int weight = meter.weight(now);
            if (weight > DemandMeter.IDLE_WEIGHT) {
                weights.put(service, weight);
            }
        });
        return weights;
    }

    void peerHeard(InstanceId peer, Map<ServiceId, Integer> weights) {
        peers.put(peer, new Member(Map.copyOf(weights), null, Map.of()));
    }

    void peerLeft(InstanceId peer) {
        peers.remove(peer);
    }

    /** Leaves its part to a peer that is no longer heard. */
    void peerLost(InstanceId peer, Duration now) {
        Member member = peers.get(peer);
        if (member != null && member.lostAt() == null) {
            View view = view(now);
            Map<ServiceId, Double> kept = new HashMap<>();
            meters.keySet().forEach(service -> kept.put(service, member.weight(service) * view.partPerWeight(service)));
            peers.put(peer, new Member(member.weights(), now, kept));
        }
    }

    private View view(Duration now) {
        return new View(now, ownWeights(now), Map.copyOf(peers));
    }

    /** Remembers the demand; to be called several times a second. */
    void tick(Duration now) {
        boolean suspended = !views.isEmpty() && now.minus(views.getLast().at()).compareTo(MAX_VIEW_GAP) > 0;
        if (startedAt == null || suspended) {
            startedAt = now;
            views.clear();
        }
        if (!views.isEmpty() && now.minus(views.getLast().at()).compareTo(VIEW_INTERVAL) < 0) {
            return;
        }
        peers.values()
                .removeIf(peer ->
                        peer.lostAt() != null && now.minus(peer.lostAt()).compareTo(LOST_RETENTION) > 0);
        views.addLast(view(now));
        while (now.minus(views.getFirst().at()).compareTo(SETTLING_TIME) > 0) {
            views.removeFirst();
        }
    }

    /** Returns whether this instance has heard others for long enough to know its part. */
    boolean hasSettled(Duration now) {
        return startedAt != null && now.minus(startedAt).compareTo(SETTLING_TIME) >= 0;
    }

    /**
     * Returns the smallest share that this instance had of a limit within the last {@link #SETTLING_TIME}.
     *
     * <p>At most {@code seats} instances have a share: many small ones that are used at the same time would add up to a
     * burst.
     *
     * @param rate the limit, in requests per second
     */
    double settledShare(ServiceId service, ServerRun run, double rate, int seats, Duration now) {
        return views.stream()
                .mapToDouble(view -> share(view, service, run, rate, seats))
                .min()
                .orElse(0);
    }

    /** Returns the share by the last remembered demand; see {@link #settledShare}. */
    double newestShare(ServiceId service, ServerRun run, double rate, int seats, Duration now) {
        return share(views.getLast(), service, run, rate, seats);
    }

    private double share(View view, ServiceId service, ServerRun run, double rate, int seats) {
        if (view.peers().size() + 1 <= seats) {
            return rate * view.part(service);
        }
        return view.rank(self, service, run) < seats ? rate / seats : 0;
    }
}
