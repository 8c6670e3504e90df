package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.dispatch.directory.DirectoryTiming;
import org.mangoridge.dispatch.directory.ServerDirectory;

/** A fleet that follows a store while servers are replaced, on virtual time; counts its calls. */
final class StoreCallsSimulation {

    static final Duration DRAIN_NOTICE = Duration.ofSeconds(2);
    static final Duration CATCH_UP_TIME = Duration.ofSeconds(3);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(1200);

    private static final Duration OUTAGE_START = Duration.ofSeconds(6);
    private static final Duration OUTAGE_END = Duration.ofSeconds(11);
    private static final Duration END = Duration.ofSeconds(16);
    private static final int REPLACED_SERVERS = 29;
    private static final Duration HEARTBEAT = Duration.ofMillis(1200);
    private static final Duration ROUND_TRIP = Duration.ofMillis(4);
    /** Time for a revision that one instance knows to be known by its peers. */
    private static final Duration GOSSIP_TIME = Duration.ofMillis(700);

    private static final Duration TICK = Duration.ofMillis(100);

    private final int instances;
    private final Outage outage;
    private final IntSupplier knownInstances;
    private final SplittableRandom random;
    private final VirtualClock clock = VirtualClock.create();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::number));
    private final List<Change> changes = new ArrayList<>();
    private final List<WaitingWatch> waiting = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private long gossiped = -1;
    private int taskNumber;
    private Duration latestWhenServed = Duration.ZERO;
    private Duration latestAfterOutage = Duration.ZERO;

    /** Which instances the store does not serve for some seconds. */
    enum Outage {
        NONE,
        /** A third of them; it answers these with an error. */
        PARTIAL,
        /** A third of them; it answers these nothing. */
        PARTIAL_SILENT,
        /** All of them. */
        FULL,
        /** None, but its answers take a hundred times the usual. */
        SLOW;

        boolean affects(int instance) {
            return switch (this) {
                case NONE, SLOW -> false;
                case PARTIAL, PARTIAL_SILENT -> instance % 3 == 0;
                case FULL -> true;
            };
        }
    }

    private record Task(Duration at, int number, Runnable action) {}

    private record Change(String server, Duration at, boolean leaving) {}

    private record WaitingWatch(
            int instance, boolean servers, int revision, Consumer<Result<FeedChanges<String>, FeedFailure>> answer) {}

    /** The calls of one instance for one kind of object; the changes are all of servers. */
    private final class Feed implements ObjectFeed<String> {
        private final int instance;
        private final boolean servers;

        private Feed(int instance, boolean servers) {
            this.instance = instance;
            this.servers = servers;
        }

        @Override
        public void list(
                Optional<String> after, Duration timeout, Consumer<Result<FeedPage<String>, FeedFailure>> answer) {
            call("list", timeout, answer, () -> {
                int revision = changes.size();
                in(
                        roundTrip(),
                        () -> answer.accept(Result.ok(new FeedPage<>(
                                List.of(Integer.toString(revision)), Optional.empty(), revision, revision))));
            });
        }

        @Override
        public void watch(
                long revision,
                Duration wait,
                Duration timeout,
                Consumer<Result<FeedChanges<String>, FeedFailure>> answer) {
            call("watch", timeout, answer, () -> {
                WaitingWatch watch = new WaitingWatch(instance, servers, (int) revision, answer);
                waiting.add(watch);
                answerWatches();
                in(wait, () -> {
                    if (waiting.remove(watch)) {
                        answer.accept(Result.ok(new FeedChanges<>(List.of(), changes.size(), -1)));
                    }
                });
            });
        }

        private <V> void call(String what, Duration timeout, Consumer<Result<V, FeedFailure>> answer, Runnable served) {
            calls.add(String.join(
                    " ", clock.elapsed().toString(), Integer.toString(instance), servers ? "servers" : "config", what));
            if (isServed(instance)) {
                served.run();
            } else {
                in(
                        outage == Outage.PARTIAL_SILENT ? timeout : ROUND_TRIP,
                        () -> answer.accept(Result.err(new FeedFailure(FeedFailure.Kind.UNAVAILABLE, "simulated"))));
            }
        }
    }

    /** Applies changes of servers; an item is the revision up to which the answer has all changes. */
    private final class Listener implements FeedListener<String> {
        private final int instance;
        private final ServerDirectory directory;
        private int known;

        private Listener(int instance, ServerDirectory directory) {
            this.instance = instance;
            this.directory = directory;
        }

        @Override
        public void replaced(List<String> items) {
            put(items.getFirst());
        }

        @Override
        public void put(String item) {
            int revision = Integer.parseInt(item);
            for (Change change : changes.subList(Math.min(known, revision), revision)) {
                if (change.leaving()) {
                    record(change);
                }
            }
            known = Math.max(known, revision);
            in(GOSSIP_TIME, () -> gossiped = Math.max(gossiped, revision));
        }

        private void record(Change change) {
            boolean cut = outage.affects(instance)
                    && change.at().compareTo(OUTAGE_END) < 0
                    && clock.elapsed().compareTo(OUTAGE_START) > 0;
            if (cut) {
                latestAfterOutage = max(latestAfterOutage, clock.elapsed().minus(OUTAGE_END));
            } else {
                latestWhenServed = max(latestWhenServed, clock.elapsed().minus(change.at()));
            }
        }

        @Override
        public void removed(String name) {}

        @Override
        public void reachable() {
            directory.storeReachable(clock.elapsed());
        }

        @Override
        public void unreachable(Duration asOf, String detail) {
            directory.storeUnreachable(asOf);
        }
    }

    /**
     * Creates a fleet.
     *
     * @param knownInstances supplies the number of instances that each takes the fleet to have
     */
    StoreCallsSimulation(int instances, Outage outage, IntSupplier knownInstances, long seed) {
        this.instances = instances;
        this.outage = outage;
        this.knownInstances = knownInstances;
        this.random = new SplittableRandom(seed);
    }

    /** Runs until all changes are known. */
    StoreCallsSimulation run() {
        for (int i = 0; i < instances; i++) {
            start(i);
        }
        for (int i = 0; i < REPLACED_SERVERS; i++) {
            replace("s-" + i, Duration.ofSeconds(5).plusMillis(random.nextInt(7000)));
        }
        in(OUTAGE_START, this::cutWatches);
        while (tasks.peek().at().compareTo(END) < 0) {
            Task next = tasks.poll();
            clock.advance(next.at().minus(clock.elapsed()));
            next.action().run();
        }
        return this;
    }

    private void start(int instance) {
        DirectoryTiming timing = new DirectoryTiming(CATCH_UP_TIME, DRAIN_NOTICE, REPORT_INTERVAL);
        ServerDirectory directory = ServerDirectory.create(timing);
        StorePacing pacing = StorePacing.create(
                DRAIN_NOTICE, CATCH_UP_TIME, knownInstances, () -> directory.isRelisting(clock.elapsed()));
        Follower<String> servers = Follower.create(
                new Feed(instance, true), new Listener(instance, directory), pacing.servers(), this::in, clock, random);
        Follower<String> config = Follower.create(
                new Feed(instance, false),
                new Listener(instance, ServerDirectory.create(timing)),
                pacing.config(),
                this::in,
                clock,
                random);
        servers.onRecovery(config::retryNow);
        StoreLag lag = StoreLag.create(pacing::serversLagTolerance);
        in(Duration.ofMillis(random.nextInt(500)), () -> {
            config.restart();
            servers.restart();
            tick(servers, lag);
        });
    }

    private void tick(Follower<String> servers, StoreLag lag) {
        if (lag.queryDue(servers.revision(), gossiped, clock.elapsed()) && !servers.isFailing()) {
            servers.restartWatch();
        }
        in(TICK, () -> tick(servers, lag));
    }

    /** A server drains and leaves; another starts, whose entry changes while it is cold. */
    private void replace(String server, Duration at) {
        in(at, () -> change(server, true));
        in(at.plusSeconds(3), () -> change(server, true));
        for (int i = 0; i < 6; i++) {
            in(at.plus(HEARTBEAT.multipliedBy(i)), () -> change(server + "-new", false));
        }
    }

    private void change(String server, boolean leaving) {
        changes.add(new Change(server, clock.elapsed(), leaving));
        answerWatches();
    }

    private void answerWatches() {
        for (WaitingWatch watch : List.copyOf(waiting)) {
            if (watch.servers() && watch.revision() < changes.size() && isServed(watch.instance())) {
                waiting.remove(watch);
                int revision = changes.size();
                FeedChanges.Change<String> put = new FeedChanges.Change.Put<>(Integer.toString(revision));
                in(roundTrip(), () -> watch.answer()
                        .accept(Result.ok(new FeedChanges<>(List.of(put), revision, revision))));
            }
        }
    }

    private void cutWatches() {
        for (WaitingWatch watch : List.copyOf(waiting)) {
            if (outage.affects(watch.instance())) {
                waiting.remove(watch);
                watch.answer().accept(Result.err(new FeedFailure(FeedFailure.Kind.UNAVAILABLE, "simulated")));
            }
        }
    }

    private boolean isServed(int instance) {
        return !isOutage() || !outage.affects(instance);
    }

    private boolean isOutage() {
        return clock.elapsed().compareTo(OUTAGE_START) >= 0 && clock.elapsed().compareTo(OUTAGE_END) < 0;
    }

    private Duration roundTrip() {
        return isOutage() && outage == Outage.SLOW ? ROUND_TRIP.multipliedBy(100) : ROUND_TRIP;
    }

    private void in(Duration delay, Runnable action) {
        tasks.add(new Task(clock.elapsed().plus(delay), taskNumber++, action));
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Returns all calls with their times. */
    List<String> calls() {
        return calls;
    }

    /** Returns the longest time after which an instance that is served knew that a server leaves. */
    Duration latestWhenServed() {
        return latestWhenServed;
    }

    /** Returns the longest time from the end of the outage until an instance knew what it had missed. */
    Duration latestAfterOutage() {
        return latestAfterOutage;
    }
}
