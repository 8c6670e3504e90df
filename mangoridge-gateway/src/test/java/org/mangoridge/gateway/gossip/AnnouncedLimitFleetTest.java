package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.directory.ServerStage;
import org.mangoridge.dispatch.limit.RateLimit;

import static com.google.common.truth.Truth.assertWithMessage;

/** Many instances share the limit of one server by gossip, on virtual time; all requests that reach it count. */
class AnnouncedLimitFleetTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final ServerEntry SERVER = new ServerEntry(
            ServerId.of("s-1"),
            SERVICE,
            new HostPort("127.0.0.1", 1),
            AvailabilityZone.of("a"),
            6,
            false,
            ServerStage.NONE,
            1,
            ServerEntry.UNKNOWN_SEQUENCE);

    private static final Duration STARTUP = Duration.ofSeconds(8);
    /** Time from the first announcement from which the limit must be kept. */
    private static final Duration NOTICE = Duration.ofSeconds(3);

    private static final Duration SPAN = Duration.ofSeconds(4);
    private static final double TOLERANCE = 1.5;
    private static final int ALLOWANCE = 5;
    private static final Duration SERVICE_TIME = Duration.ofMillis(15);

    private final List<Duration> arrivals = new ArrayList<>();
    private SplittableRandom random;
    private GossipFleet fleet;
    private Optional<RateLimit> announced = Optional.empty();
    private double announcingShare = 1;

    private void start(int instances, double lossRate, long seed) {
        random = new SplittableRandom(seed);
        fleet = GossipFleet.create(instances, 3, seed);
        fleet.setLossRate(lossRate);
        announced = Optional.empty();
        announcingShare = 1;
        arrivals.clear();
    }

    /** Sends requests to random instances, to the first ones more often, for some time. */
    private void load(double requestsPerSecond, Duration time) {
        Duration end = fleet.now().plus(time);
        while (fleet.now().compareTo(end) < 0) {
            double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            fleet.run(Duration.ofNanos((long) (seconds * 1e9)));
            List<GossipFleet.Member> members = fleet.members();
            double skewed = Math.pow(random.nextDouble(), 1.5);
            request(members.get((int) (skewed * members.size())));
        }
    }

    private void request(GossipFleet.Member member) {
        Duration now = fleet.now();
        member.limiter.recordRequest(SERVICE, now);
        if (member.limiter.permits(SERVER, now)) {
            member.limiter.take(SERVER, now);
            arrivals.add(now);
            Optional<RateLimit> answer = random.nextDouble() < announcingShare ? announced : Optional.empty();
            fleet.after(SERVICE_TIME, () -> member.observeAnswer(SERVER, answer, now));
        }
    }

    private int arrivalsBetween(Duration from, Duration to) {
        return (int) arrivals.stream()
                .filter(at -> at.compareTo(from) >= 0 && at.compareTo(to) < 0)
                .count();
    }

    private void assertKept(double limit, Duration from, String what) {
        int allowed = (int) (TOLERANCE * limit * SPAN.toSeconds()) + ALLOWANCE;
        Deque<Duration> span = new ArrayDeque<>();
        for (Duration at : arrivals) {
            if (at.compareTo(from) >= 0) {
                span.addLast(at);
            }
            while (!span.isEmpty() && span.getFirst().compareTo(at.minus(SPAN)) <= 0) {
                span.removeFirst();
            }
            assertWithMessage("%s: requests in 4 s until %s", what, at)
                    .that(span.size())
                    .isAtMost(allowed);
        }
    }

    /** Guards against incident order-desk-3: the sum over all instances, through restarts, losses and a cut. */
    @ParameterizedTest
    @CsvSource({
        // seeds, instances, limit, requests per second, share of lost datagrams, least part of the limit used
        "20, 6, 4.9, 40, 0, 0.6",
        "20, 6, 4.9, 40, 0.1, 0.5",
        "10, 6, 40, 400, 0.05, 0.6",
        "10, 9, 0.4, 30, 0.05, 0.3",
        "10, 1, 3, 30, 0, 0.6",
        "4, 60, 5, 200, 0.05, 0.5",
        "4, 60, 90, 400, 0.05, 0.4",
        "1, 300, 5, 600, 0.03, 0.5",
        "1, 120, 200, 600, 0.03, 0.3"
    })
    void theSumOverAllInstancesKeepsToTheLimit(
            int seeds, int instances, double limit, double requestsPerSecond, double lossRate, double leastUse) {
        for (long seed = 1; seed <= seeds; seed++) {
            start(instances, lossRate, seed);
            load(requestsPerSecond, STARTUP);
            announced = Optional.of(new RateLimit(limit));
            Duration from = fleet.now().plus(NOTICE);
            load(requestsPerSecond, Duration.ofSeconds(16));
            Duration calmUntil = fleet.now();
            int used = arrivalsBetween(calmUntil.minusSeconds(10), calmUntil);
            fleet.members().stream().limit(1 + instances / 3).forEach(GossipFleet.Member::forgetLimits);
            load(requestsPerSecond, Duration.ofSeconds(10));
            fleet.partition((one, other) -> (one.origin.instance().value().hashCode() % 2)
                    != (other.origin.instance().value().hashCode() % 2));
            load(requestsPerSecond, Duration.ofSeconds(10));
            fleet.partition((one, other) -> false);
            load(requestsPerSecond, Duration.ofSeconds(10));
            if (instances > 3) {
                fleet.members().stream().limit(instances / 3).forEach(fleet::kill);
                load(requestsPerSecond, Duration.ofSeconds(10));
            }
            assertKept(limit, from, "seed " + seed);
            assertWithMessage("requests in 10 calm seconds, seed %s", seed)
                    .that(used)
                    .isAtLeast((int) (leastUse * limit * 10));
        }
    }

    /** A limit that a server names in some of its answers holds, and ends when it names it no more. */
    @ParameterizedTest
    @CsvSource({"6, 5, 0.3", "60, 5, 0.5", "9, 0.4, 1"})
    void aLimitHoldsWhileItIsNamedAndEndsAfterwards(int instances, double limit, double share) {
        start(instances, 0.05, 7);
        load(60, STARTUP);
        announcingShare = share;
        announced = Optional.of(new RateLimit(limit));
        Duration from = fleet.now().plus(NOTICE);
        load(60, Duration.ofSeconds(20));
        assertKept(limit, from, "while it is named");
        announced = Optional.empty();
        load(60, Duration.ofSeconds(60));
        assertWithMessage("requests in 5 s after the limit ended")
                .that(arrivalsBetween(fleet.now().minusSeconds(5), fleet.now()))
                .isAtLeast(200);
    }

    /** A limit that falls or rises is followed; a suspended instance does not bring the old one back. */
    @ParameterizedTest
    @CsvSource({"6, 20, 3", "6, 3, 20", "60, 60, 6"})
    void aChangedLimitIsFollowed(int instances, double before, double after) {
        start(instances, 0.02, 11);
        load(200, STARTUP);
        announced = Optional.of(new RateLimit(before));
        load(200, Duration.ofSeconds(12));
        GossipFleet.Member suspended = fleet.members().get(0);
        fleet.partition((one, other) -> one == suspended || other == suspended);
        announced = Optional.of(new RateLimit(after));
        Duration from = fleet.now().plus(NOTICE);
        load(200, Duration.ofSeconds(6));
        fleet.partition((one, other) -> false);
        load(200, Duration.ofSeconds(12));
        assertKept(Math.max(before, after) == before ? after : before + after, from, "after the change");
        assertWithMessage("known limit")
                .that(suspended.limiter.limit(ServerRun.of(SERVER)))
                .hasValue(new RateLimit(after));
    }
}
