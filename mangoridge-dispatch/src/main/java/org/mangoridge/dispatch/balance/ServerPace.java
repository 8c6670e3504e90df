package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

/**
 * Paces servers that started, came back or were slow, by how they answer; confined to one thread.
 *
 * <p>A server that is paced has an allowance of concurrent requests of all instances. It begins with one, grows with each
 * answer that is about as fast as those of the other servers, and is halved by answers that are slow or failed. The server
 * is no longer paced once its allowance reaches its slots. Any other server is unaffected.
 *
 * <p>Each instance finds the allowance from the answers that it sees. While there are more instances than allowed requests,
 * each waits for its turn, so that they don't send their first requests at once.
 */
public final class ServerPace {

    /** Ratio to the usual latency above which an answer is slow: the server would do less than half of the work. */
    private static final double SLOW_FACTOR = 2;
    /**
     * Requests of a service for one to a server whose last answer was slow: callers' latency targets hold for 95 of 100.
     */
    private static final int REQUESTS_PER_SAMPLE = 20;
    /** Weight of one answer in the moving average of the usual latency. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /**
     * Time within which each instance has a turn, if that does not fill more than half of the server; the half-life of what
     * {@link ServerHealth} knows.
     */
    private static final Duration MAX_TURN_INTERVAL = Duration.ofSeconds(4);
    /** Time without an answer after which a server that was slow may have recovered unseen. */
    private static final Duration UNSEEN_AFTER = Duration.ofSeconds(1);
    /** Factor by which an instance may exceed an equal share of an allowance, since callers are not spread evenly. */
    private static final int SHARE_EXCESS = 2;

    private final LoadTracker loads;
    private final RandomGenerator random;
    private final Map<ServerId, Ramp> ramps = new HashMap<>();
    private final Map<Group, Usual> usual = new HashMap<>();
    /** For each zone that was cut off, its servers that were asked for since. */
    private final Map<AvailabilityZone, Set<ServerId>> returned = new HashMap<>();

    private Listener listener = new Listener() {};

    /** Why a server is paced. */
    public enum Cause {
        /** It is a new run. */
        STARTED,
        /** It did not answer for some time, or rejected everything. */
        EJECTED,
        /** It asked for a pause. */
        PAUSED,
        /** Its zone was cut off. */
        CUT_OFF,
        /** Its answers were slow, and it gets no requests that would show whether they still are. */
        SLOW;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Is told of servers whose pacing begins or ends. */
    public interface Listener {

        /** Handles that a server is paced from now on. */
        default void begun(ServerId server, Cause cause) {}

        /** Handles that a server is used like any other again. */
        default void ended(ServerId server, Cause cause, Duration after) {}
    }

    /** Servers whose latencies can be compared. */
    private record Group(ServiceId service, ServerStage stage) {

        static Group of(ServerEntry server) {
            return new Group(server.service(), server.stage());
        }
    }

    /** What is usual among the servers of a group that are not paced, or among all if none can be used. */
    private static final class Usual {
        /** Mean ratio of the time of an answer to what was expected; 0 before the first. */
        private double ratio;
        /** Mean time of an answer in nanoseconds. */
        private double nanos;
        /** When a server that is not paced could last be sent a request. */
        private Duration unpacedUsable = Duration.ZERO;
        /** Requests that this instance sent to all servers of the group, paced ones included. */
        private long sends;
        /** The value of {@code sends} at the last request to a server whose last answer was slow. */
        private long sendsAtSample;

        /** Tells whether a request that was sent at some time could have gone to a server that is not paced. */
        boolean hadUnpaced(Duration sent) {
            return sent.compareTo(unpacedUsable) <= 0;
        }

        void record(double answerRatio, Duration took) {
            double weight = ratio == 0 ? 1 : SAMPLE_WEIGHT;
            ratio += weight * (answerRatio - ratio);
            nanos += weight * (took.toNanos() - nanos);
        }
    }

    private static final class Ramp {
        private final Cause cause;
        private final Duration begun;
        private double allowance = 1;
        private boolean slow;
        /** How long the last answer took; null before the first. */
        private Duration lastTook;
        /** When this instance may send the next request; null until a request could be sent. */
        private Duration turn;
        /** Answers to requests sent before the last decrease say nothing about the decreased allowance. */
        private Duration decreased = Duration.ZERO;

        Ramp(Cause cause, Duration begun) {
            this.cause = cause;
            this.begun = begun;
        }

        /** Tells whether an answer belongs to a request from before, such as to an earlier run of the server. */
        boolean precededBy(Duration took, Duration now) {
            return now.minus(took).compareTo(begun) < 0;
        }
    }

    private ServerPace(LoadTracker loads, RandomGenerator random) {
        this.loads = Checks.notNull(loads, "loads");
        this.random = Checks.notNull(random, "random");
    }

    /** Returns an object that paces no server yet. */
    public static ServerPace create(LoadTracker loads, RandomGenerator random) {
        return new ServerPace(loads, random);
    }

    /** Sets the listener; replaces the one before. */
    public void onChange(Listener other) {
        listener = Checks.notNull(other, "listener");
    }

    /**
     * Paces a server, from the start again if it is paced already.
     *
     * @param from when it may be sent requests again
     */
    public void begin(ServerId server, Cause cause, Duration from) {
        Ramp before = ramps.put(server, new Ramp(cause, from));
        if (before == null) {
            listener.begun(server, cause);
        }
    }

    /** Paces the servers of a zone when they are asked for again. */
    void beginZone(AvailabilityZone zone) {
        returned.put(zone, new HashSet<>());
    }

    /** Tells whether a server is paced. */
    public boolean isPaced(ServerId server) {
        return ramps.containsKey(server);
    }

    /** Returns the number of servers that are paced. */
    public int pacedServers() {
        return ramps.size();
    }

    /** Returns the concurrent requests of all instances that a server is allowed; its slots if it is not paced. */
    double allowance(ServerEntry server) {
        Ramp ramp = ramps.get(server.id());
        return ramp == null ? server.slots() : ramp.allowance;
    }

    /** Records that a server which is not paced may be sent a request; others of its group are compared with it. */
    void recordUnpacedUsable(ServerEntry server, Duration now) {
        usual(server).unpacedUsable = now;
    }

    /** Tells whether this instance may send a server a request while others can take it. */
    boolean permits(ServerEntry server, Duration now) {
        Set<ServerId> known = returned.get(server.zone());
        if (known != null && known.add(server.id()) && !isPaced(server.id())) {
            begin(server.id(), Cause.CUT_OFF, now);
        }
        Ramp ramp = ramps.get(server.id());
        if (ramp == null) {
            return true;
        }
        int instances = loads.peerCount() + 1;
        if (ramp.turn == null) {
            Duration start = now.compareTo(ramp.begun) >= 0 ? now : ramp.begun;
            ramp.turn = start.plus(randomPart(interval(server, ramp, instances)));
        }
        return permits(server, ramp, ramp.turn, now);
    }

    /**
     * Tells whether {@link #permits} would permit a request, and begins no pace and draws no turn; a turn that is not drawn
     * counts as the earliest possible one.
     *
     * @param foundSlow whether the server would be paced now because it was slow
     */
    boolean wouldPermit(ServerEntry server, boolean foundSlow, Duration now) {
        Set<ServerId> known = returned.get(server.zone());
        boolean returns = known != null && !known.contains(server.id());
        Ramp ramp = ramps.get(server.id());
        if (ramp == null && !foundSlow && !returns) {
            return true;
        }
        if (ramp == null) {
            ramp = new Ramp(foundSlow ? Cause.SLOW : Cause.CUT_OFF, now);
            ramp.slow = foundSlow;
        }
        return permits(server, ramp, ramp.turn == null ? ramp.begun : ramp.turn, now);
    }

    private boolean permits(ServerEntry server, Ramp ramp, Duration turn, Duration now) {
        int instances = loads.peerCount() + 1;
        int own = loads.own(server.id()).requests();
        int total = loads.total(server.id()).requests();
        if (ramp.allowance < instances || ramp.slow) {
            // An answer that had to queue would tell nothing about the server.
            boolean hasTurn = now.compareTo(turn) >= 0 && own == 0 && total < server.slots();
            return hasTurn && (!ramp.slow || isSampleDue(server));
        }
        // Peers that fill half of a server do not pace it: it was out of reach for this instance alone.
        boolean usedByPeers = total - own >= halfOfSlots(server);
        return own < Math.max(1, SHARE_EXCESS * ramp.allowance / instances) && (total < ramp.allowance || usedByPeers);
    }

    private boolean isSampleDue(ServerEntry server) {
        Usual group = usual.getOrDefault(Group.of(server), new Usual());
        return group.sends - group.sendsAtSample >= REQUESTS_PER_SAMPLE;
    }

    private static double halfOfSlots(ServerEntry server) {
        return Math.max(1, server.slots() / 2.0);
    }

    /** Returns the time between two requests of this instance with which all instances together keep to the allowance. */
    private Duration interval(ServerEntry server, Ramp ramp, int instances) {
        Duration latency =
                ramp.lastTook == null ? Duration.ofNanos((long) (SLOW_FACTOR * usual(server).nanos)) : ramp.lastTook;
        Duration wait = pause(latency, instances, ramp.allowance);
        if (wait.compareTo(MAX_TURN_INTERVAL) <= 0) {
            return wait;
        }
        Duration least = pause(latency, instances, halfOfSlots(server));
        return least.compareTo(MAX_TURN_INTERVAL) > 0 ? least : MAX_TURN_INTERVAL;
    }

    private static Duration pause(Duration latency, int instances, double allowance) {
        return scaled(latency, Math.max(0, instances / allowance - 1));
    }

    private Duration randomPart(Duration limit) {
        return limit.isZero() ? limit : scaled(limit, random.nextDouble());
    }

    private static Duration scaled(Duration value, double factor) {
        return Duration.ofNanos((long) (value.toNanos() * factor));
    }

    private Usual usual(ServerEntry server) {
        return usual.computeIfAbsent(Group.of(server), group -> new Usual());
    }

    /** Records that this instance sends a request to a server. */
    void recordSent(ServerEntry server) {
        Usual group = usual(server);
        group.sends++;
        Ramp ramp = ramps.get(server.id());
        if (ramp != null && ramp.slow) {
            group.sendsAtSample = group.sends;
        }
    }

    /**
     * Records that a server did some work; returns whether that ends its pacing.
     *
     * @param took how long it took
     * @param expected how long such work is expected to take at a server of nominal speed
     */
    boolean recordWork(ServerEntry server, Duration took, Duration expected, Duration now) {
        double ratio = (double) took.toNanos() / Math.max(1, expected.toNanos());
        Usual group = usual(server);
        Ramp ramp = ramps.get(server.id());
        if (ramp != null && ramp.precededBy(took, now)) {
            return false;
        }
        // A paced server that is faster shows that the usual latency is outdated, as when a whole service started cold.
        boolean outdated = group.ratio == 0 || ratio < group.ratio;
        if (ramp == null || outdated || !group.hadUnpaced(now.minus(took))) {
            group.record(ratio, took);
        }
        if (ramp == null) {
            return false;
        }
        ramp.lastTook = took;
        ramp.slow = ratio > SLOW_FACTOR * group.ratio;
        if (ramp.slow) {
            decrease(ramp, took, now);
        } else {
            // One for each answer, of which the other instances see as many.
            ramp.allowance += Math.min(Math.max(ramp.allowance, halfOfSlots(server)), loads.peerCount() + 1);
        }
        if (ramp.allowance < server.slots()) {
            Duration wait = interval(server, ramp, loads.peerCount() + 1);
            ramp.turn = now.plus(wait.dividedBy(2)).plus(randomPart(wait));
            return false;
        }
        ramps.remove(server.id());
        listener.ended(server.id(), ramp.cause, now.minus(ramp.begun));
        return true;
    }

    /** Records that a server failed or rejected a request after some time. */
    void recordFailure(ServerId server, Duration took, Duration now) {
        Ramp ramp = ramps.get(server);
        if (ramp != null && !ramp.precededBy(took, now)) {
            ramp.slow = true;
            decrease(ramp, took, now);
        }
    }

    private static void decrease(Ramp ramp, Duration took, Duration now) {
        if (now.minus(took).compareTo(ramp.decreased) >= 0) {
            ramp.allowance = Math.max(1, ramp.allowance / 2);
            ramp.decreased = now;
        }
    }

    /**
     * Paces a server that was slow and has not answered for some time.
     *
     * @param latencyMillis the mean latency of its answers
     * @param lastAnswer when the last of them came
     */
    void reviewSlow(ServerEntry server, double latencyMillis, Duration lastAnswer, Duration now) {
        if (isUnseenAndSlow(server, latencyMillis, lastAnswer, now)) {
            begin(server.id(), Cause.SLOW, now);
            ramps.get(server.id()).slow = true;
        }
    }

    /** Tells whether a server that is not paced was slow and has not answered for some time. */
    boolean isUnseenAndSlow(ServerEntry server, double latencyMillis, Duration lastAnswer, Duration now) {
        if (now.minus(lastAnswer).compareTo(UNSEEN_AFTER) <= 0 || isPaced(server.id())) {
            return false;
        }
        double usualMillis = usualMillis(server);
        return usualMillis > 0 && latencyMillis > SLOW_FACTOR * usualMillis;
    }

    /** Returns the usual latency of a server's group in milliseconds; 0 if none is known. */
    double usualMillis(ServerEntry server) {
        Usual group = usual.get(Group.of(server));
        return group == null ? 0 : group.nanos / 1e6;
    }

    /** Handles that a server takes no more requests. */
    public void remove(ServerId server) {
        ramps.remove(server);
    }

    /** Removes the servers that are not in {@code known}. */
    void retain(Set<ServerId> known) {
        ramps.keySet().retainAll(known);
        returned.values().forEach(servers -> servers.retainAll(known));
    }
}
