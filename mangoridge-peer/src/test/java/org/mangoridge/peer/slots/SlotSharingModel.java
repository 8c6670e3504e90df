package org.mangoridge.peer.slots;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** A zone's decode slots under load on virtual time, shared in one of three ways; times are in microseconds. */
final class SlotSharingModel {

    private static final int SLOTS = 20;
    private static final double MEAN_DECODE_SECONDS = 4;
    private static final long SECOND = 1_000_000;
    private static final long SPAN = 60 * SECOND;
    private static final long PERIOD = 250_000;
    private static final long ROUND_TRIP = 1_000;
    private static final long QUEUE_LOOK = 20_000;
    private static final long FIRST_TOKEN_TARGET = 340_000;
    private static final long LATEST_START = 220_000;
    private static final long SHORTEST_PREFILL = 40_000;
    private static final long MEAN_MORE_PREFILL = 60_000;
    private static final int TRIES_WITH_RESERVATION = 6;
    private static final int TRIES_WITHOUT = 3;

    /** How instances learn of each other's slots. */
    enum Way {
        /** Each by the server's report, a period old and renewed each period, and its own requests since. */
        REPORTS,
        /** By its own requests and what peers told, one random peer a period. */
        GOSSIP,
        /** By credits that one instance per server grants without delay, given back a quarter of a period late. */
        CREDITS
    }

    private record Task(long at, long order, Runnable run) {}

    /** One request. */
    private static final class Request {
        private final int instance;
        private final long arrived;
        private final long prefill;
        private final long decode;
        private final Set<Integer> tried = new HashSet<>();
        private int tries;

        private Request(int instance, long arrived, long prefill, long decode) {
            this.instance = instance;
            this.arrived = arrived;
            this.prefill = prefill;
            this.decode = decode;
        }
    }

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final SplittableRandom random;
    private final SplittableRandom arrivals;
    private final Way way;
    private final boolean reserveFirst;
    private final int instances;
    private final int servers;
    private final double load;
    private final int[] used;
    private final int[] granted;
    private final int[][] own;
    private final int[][] reported;
    private final int[][] ownWhenReported;
    private final int[][][] told;
    private long now;
    private long order;
    private int requests;
    private int onTime;
    private int full;
    private int prefills;
    private int wasted;

    SlotSharingModel(Way way, boolean reserveFirst, int instances, int servers, double load, long seed) {
        this.way = way;
        this.reserveFirst = reserveFirst;
        this.instances = instances;
        this.servers = servers;
        this.load = load;
        this.arrivals = new SplittableRandom(seed);
        this.random = arrivals.split();
        this.used = new int[servers];
        this.granted = new int[servers];
        this.own = new int[instances][servers];
        this.reported = new int[instances][servers];
        this.ownWhenReported = new int[instances][servers];
        this.told = new int[instances][instances][servers];
    }

    /** Runs the whole span. */
    SlotSharingModel run() {
        report();
        for (int instance = 0; instance < instances; instance++) {
            int teller = instance;
            in(random.nextLong(PERIOD), () -> gossip(teller));
        }
        in(PERIOD, this::arrive);
        while (!tasks.isEmpty() && tasks.peek().at() <= SPAN) {
            Task task = tasks.poll();
            now = task.at();
            task.run().run();
        }
        return this;
    }

    /** Returns the share of requests whose first token came in time. */
    double goodput() {
        return (double) onTime / requests;
    }

    /** Describes the run. */
    String line() {
        return String.format(
                "slots way=%s reserve-first=%b instances=%d servers=%d load=%.2f goodput=%.3f"
                        + " full-per-request=%.3f wasted-prefill=%.3f",
                way,
                reserveFirst,
                instances,
                servers,
                load,
                goodput(),
                (double) full / requests,
                prefills == 0 ? 0 : (double) wasted / prefills);
    }

    private void in(long delay, Runnable run) {
        tasks.add(new Task(now + delay, order++, run));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - arrivals.nextDouble());
    }

    private void report() {
        int[] counts = used.clone();
        int[][] owns = new int[instances][];
        for (int instance = 0; instance < instances; instance++) {
            owns[instance] = own[instance].clone();
        }
        in(PERIOD, () -> {
            for (int instance = 0; instance < instances; instance++) {
                reported[instance] = counts;
                ownWhenReported[instance] = owns[instance];
            }
        });
        in(PERIOD, this::report);
    }

    private void gossip(int teller) {
        int peer = random.nextInt(instances);
        told[teller][peer] = own[peer].clone();
        told[peer][teller] = own[teller].clone();
        in(PERIOD, () -> gossip(teller));
    }

    private void arrive() {
        requests++;
        long prefill = SHORTEST_PREFILL + (long) exponential(MEAN_MORE_PREFILL);
        long decode = (long) exponential(MEAN_DECODE_SECONDS * SECOND);
        start(new Request(arrivals.nextInt(instances), now, prefill, decode));
        double perSecond = load * servers * SLOTS / MEAN_DECODE_SECONDS;
        in((long) exponential(SECOND / perSecond), this::arrive);
    }

    private int estimate(int instance, int server) {
        return switch (way) {
            case REPORTS ->
                reported[instance][server] + Math.max(0, own[instance][server] - ownWhenReported[instance][server]);
            case GOSSIP -> {
                int sum = own[instance][server];
                for (int peer = 0; peer < instances; peer++) {
                    sum += peer == instance ? 0 : told[instance][peer][server];
                }
                yield sum;
            }
            case CREDITS -> granted[server];
        };
    }

    private int leastUsed(Request request) {
        int best = -1;
        int least = SLOTS;
        int first = random.nextInt(servers);
        for (int i = 0; i < servers; i++) {
            int server = (first + i) % servers;
            int estimate = estimate(request.instance, server);
            if (estimate < least && !request.tried.contains(server)) {
                least = estimate;
                best = server;
            }
        }
        return best;
    }

    private void start(Request request) {
        if (now - request.arrived > LATEST_START) {
            return;
        }
        int server = leastUsed(request);
        if (server < 0) {
            request.tried.clear();
            in(QUEUE_LOOK, () -> start(request));
            return;
        }
        own[request.instance][server]++;
        granted[server]++;
        if (reserveFirst) {
            in(
                    ROUND_TRIP,
                    () -> reserve(request, server, () -> {
                        prefills++;
                        in(request.prefill, () -> decode(request, server));
                    }));
        } else {
            prefills++;
            in(request.prefill, () -> reserve(request, server, () -> decode(request, server)));
        }
    }

    private void reserve(Request request, int server, Runnable next) {
        if (used[server] < SLOTS) {
            used[server]++;
            next.run();
            return;
        }
        full++;
        wasted += reserveFirst ? 0 : 1;
        own[request.instance][server]--;
        granted[server]--;
        request.tried.add(server);
        request.tries++;
        if (request.tries < (reserveFirst ? TRIES_WITH_RESERVATION : TRIES_WITHOUT)) {
            in(ROUND_TRIP, () -> start(request));
        }
    }

    private void decode(Request request, int server) {
        onTime += now - request.arrived <= FIRST_TOKEN_TARGET ? 1 : 0;
        in(request.decode, () -> {
            used[server]--;
            own[request.instance][server]--;
            in(PERIOD / 4, () -> granted[server]--);
        });
    }
}
