package org.mangoridge.peer.slots;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates a zone's decode slots under load on virtual time, with one of three strategies for sharing them. Times are in
 * microseconds.
 */
final class SlotSharingModel {

    private static final int SLOTS_PER_SERVER = 20;
    private static final double MEAN_DECODE_SECONDS = 4;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long SPAN_MICROS = 60 * SECOND_MICROS;
    private static final long PERIOD_MICROS = 250_000;
    private static final long ROUND_TRIP_MICROS = 1_000;
    private static final long QUEUE_RETRY_MICROS = 20_000;
    private static final long FIRST_TOKEN_TARGET_MICROS = 340_000;
    private static final long LATEST_START_MICROS = 220_000;
    private static final long MIN_PREFILL_MICROS = 40_000;
    private static final long MEAN_EXTRA_PREFILL_MICROS = 60_000;
    private static final int MAX_TRIES_WITH_RESERVATION = 6;
    private static final int MAX_TRIES_WITHOUT_RESERVATION = 3;

    /** How instances learn of the slots in use. */
    enum Strategy {
        /** From the server's report, one period old and renewed every period, and from the own requests since. */
        REPORTS,
        /** From the own requests and those that peers reported, one random peer per period. */
        GOSSIP,
        /** By credits that one instance per server grants without delay and gets back a quarter of a period late. */
        CREDITS
    }

    private record Task(long at, long order, Runnable run) {}

    /** A request. */
    private static final class Request {
        private final int instance;
        private final long arrivedAt;
        private final long prefill;
        private final long decode;
        private final Set<Integer> tried = new HashSet<>();
        private int tries;

        private Request(int instance, long arrivedAt, long prefill, long decode) {
            this.instance = instance;
            this.arrivedAt = arrivedAt;
            this.prefill = prefill;
            this.decode = decode;
        }
    }

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final SplittableRandom random;
    private final SplittableRandom arrivals;
    private final Strategy strategy;
    private final boolean reserveFirst;
    private final int instances;
    private final int servers;
    private final double load;
    private final int[] used;
    private final int[] granted;
    private final int[][] own;
    private final int[][] reported;
    private final int[][] ownWhenReported;
    private final int[][][] gossiped;
    private long now;
    private long order;
    private int requests;
    private int onTime;
    private int fullServers;
    private int prefills;
    private int wastedPrefills;

    SlotSharingModel(Strategy strategy, boolean reserveFirst, int instances, int servers, double load, long seed) {
        this.strategy = strategy;
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
        this.gossiped = new int[instances][instances][servers];
    }

    /** Runs the simulation to its end. */
    SlotSharingModel run() {
        report();
        for (int instance = 0; instance < instances; instance++) {
            int sender = instance;
            schedule(random.nextLong(PERIOD_MICROS), () -> gossip(sender));
        }
        schedule(PERIOD_MICROS, this::arrive);
        while (!tasks.isEmpty() && tasks.peek().at() <= SPAN_MICROS) {
            Task task = tasks.poll();
            now = task.at();
            task.run().run();
        }
        return this;
    }

    /** Returns the share of requests whose first token was on time. */
    double goodput() {
        return (double) onTime / requests;
    }

    /** Returns the report line of the run. */
    String line() {
        return String.format(
                "slots way=%s reserve-first=%b instances=%d servers=%d load=%.2f goodput=%.3f"
                        + " full-per-request=%.3f wasted-prefill=%.3f",
                strategy,
                reserveFirst,
                instances,
                servers,
                load,
                goodput(),
                (double) fullServers / requests,
                prefills == 0 ? 0 : (double) wastedPrefills / prefills);
    }

    private void schedule(long delay, Runnable run) {
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
        schedule(PERIOD_MICROS, () -> {
            for (int instance = 0; instance < instances; instance++) {
                reported[instance] = counts;
                ownWhenReported[instance] = owns[instance];
            }
        });
        schedule(PERIOD_MICROS, this::report);
    }

    private void gossip(int sender) {
        int peer = random.nextInt(instances);
        gossiped[sender][peer] = own[peer].clone();
        gossiped[peer][sender] = own[sender].clone();
        schedule(PERIOD_MICROS, () -> gossip(sender));
    }

    private void arrive() {
        requests++;
        long prefill = MIN_PREFILL_MICROS + (long) exponential(MEAN_EXTRA_PREFILL_MICROS);
        long decode = (long) exponential(MEAN_DECODE_SECONDS * SECOND_MICROS);
        start(new Request(arrivals.nextInt(instances), now, prefill, decode));
        double perSecond = load * servers * SLOTS_PER_SERVER / MEAN_DECODE_SECONDS;
        schedule((long) exponential(SECOND_MICROS / perSecond), this::arrive);
    }

    private int estimate(int instance, int server) {
        return switch (strategy) {
            case REPORTS ->
                reported[instance][server] + Math.max(0, own[instance][server] - ownWhenReported[instance][server]);
            case GOSSIP -> {
                int sum = own[instance][server];
                for (int peer = 0; peer < instances; peer++) {
                    sum += peer == instance ? 0 : gossiped[instance][peer][server];
                }
                yield sum;
            }
            case CREDITS -> granted[server];
        };
    }

    private int leastUsed(Request request) {
        int best = -1;
        int least = SLOTS_PER_SERVER;
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
        if (now - request.arrivedAt > LATEST_START_MICROS) {
            return;
        }
        int server = leastUsed(request);
        if (server < 0) {
            request.tried.clear();
            schedule(QUEUE_RETRY_MICROS, () -> start(request));
            return;
        }
        own[request.instance][server]++;
        granted[server]++;
        if (reserveFirst) {
            schedule(
                    ROUND_TRIP_MICROS,
                    () -> reserve(request, server, () -> {
                        prefills++;
                        schedule(request.prefill, () -> decode(request, server));
                    }));
        } else {
            prefills++;
            schedule(request.prefill, () -> reserve(request, server, () -> decode(request, server)));
        }
    }

    private void reserve(Request request, int server, Runnable next) {
        if (used[server] < SLOTS_PER_SERVER) {
            used[server]++;
            next.run();
            return;
        }
        fullServers++;
        wastedPrefills += reserveFirst ? 0 : 1;
        own[request.instance][server]--;
        granted[server]--;
        request.tried.add(server);
        request.tries++;
        if (request.tries < (reserveFirst ? MAX_TRIES_WITH_RESERVATION : MAX_TRIES_WITHOUT_RESERVATION)) {
            schedule(ROUND_TRIP_MICROS, () -> start(request));
        }
    }

    private void decode(Request request, int server) {
        onTime += now - request.arrivedAt <= FIRST_TOKEN_TARGET_MICROS ? 1 : 0;
        schedule(request.decode, () -> {
            used[server]--;
            own[request.instance][server]--;
            schedule(PERIOD_MICROS / 4, () -> granted[server]--);
        });
    }
}
