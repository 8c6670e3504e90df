package org.mangoridge.config.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.mangoridge.config.ApplyId;
import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.Manifest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.content.Piece;
import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/**
 * Simulates the agents of a fleet in virtual time, with a platform that counts calls.
 *
 * <p>Gossip is not simulated: all instances share one view, which still contains a killed instance for a
 * fixed time.
 */
final class SimulatedFleet {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final Duration CALL_LATENCY = Duration.ofMillis(5);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration VIEW_LAG = Duration.ofSeconds(2);
    private static final Duration VIEW_REFRESH_INTERVAL = Duration.ofSeconds(1);

    /** A task that is due at {@code at}; tasks due at the same time run in the order in which they were added. */
    private record ScheduledTask(Duration at, long order, Runnable task) {}

    /** A simulated instance. */
    static final class Node {

        private final InstanceId id;
        private final int zone;
        private ConfigAgent agent;
        private int incarnation;
        private boolean isAlive = true;
        private Duration aliveChangedAt = Duration.ZERO;
        private List<InstanceId> ranked = List.of();
        private List<InstanceId> others = List.of();

        private Node(InstanceId id, int zone) {
            this.id = id;
            this.zone = zone;
        }

        long generation() {
            return agent.current().manifest().generation();
        }

        ConfigAgent agent() {
            return agent;
        }
    }

    private final SplittableRandom random;
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparing(ScheduledTask::at).thenComparing(ScheduledTask::order));
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InstanceId, Node> byId = new HashMap<>();
    private final TreeMap<Long, Integer> callsBySecond = new TreeMap<>();
    private final List<Runnable> watches = new ArrayList<>();
    private final boolean arePeersReachable;
    private PublishedConfig head = PublishedConfig.initial();
    private PublishedConfig backup = head;
    private long version = 1;
    private boolean outage;
    private int remainingStaleReads;
    private int remainingWatchGaps;
    private PublishedConfig previous = head;
    private List<InstanceId> liveIds = List.of();
    private List<ConfigPeers.PeerGeneration> newestFirst = List.of();
    private Duration now = Duration.ZERO;
    private long order;
    private long peerBytes;
    private long peerCalls;

    SimulatedFleet(int size, int zones, boolean arePeersReachable, long seed) {
        this.random = new SplittableRandom(seed);
        this.arePeersReachable = arePeersReachable;
        for (int i = 0; i < size; i++) {
            Node node = new Node(InstanceId.of(String.format("n%03d", i)), i % zones);
            nodes.add(node);
            byId.put(node.id, node);
        }
        refreshViews();
        nodes.forEach(this::start);
        schedule(now.plus(VIEW_REFRESH_INTERVAL), this::refreshViewsPeriodically);
    }

    List<Node> live() {
        return nodes.stream().filter(node -> node.isAlive).toList();
    }

    List<Node> watchers(int zone) {
        return live().stream()
                .filter(node -> node.zone == zone && node.agent.isWatcher())
                .toList();
    }

    long minGeneration() {
        return live().stream().mapToLong(Node::generation).min().orElseThrow();
    }

    void publish(int share) {
        String text = "[class c]\nfirst-token = 1s\nper-token = 1s\nshare = " + share + "\n";
        Piece piece = new Piece("p" + share, Sha256.of(text));
        previous = head;
        Manifest manifest = head.manifest().next(ApplyId.of("a" + share), "ann", "", "e" + share, List.of(piece));
        setHead(PublishedConfig.verify(manifest, manifest.hash(), Map.of(piece.hash(), text))
                .value());
    }

    void saveBackup() {
        backup = head;
    }

    void restoreBackup() {
        setHead(backup);
    }

    PublishedConfig stored() {
        return head;
    }

    void outage(boolean on) {
        outage = on;
        if (on) {
            endWatches();
        }
    }

    void staleReads(int reads) {
        remainingStaleReads = reads;
    }

    void watchGaps(int watches) {
        remainingWatchGaps = watches;
    }

    void kill(Node node) {
        node.isAlive = false;
        node.incarnation++;
        node.aliveChangedAt = now;
    }

    void restart(Node node) {
        node.isAlive = true;
        node.aliveChangedAt = now;
        start(node);
    }

    void run(Duration time) {
        Duration end = now.plus(time);
        while (!tasks.isEmpty() && tasks.peek().at().compareTo(end) <= 0) {
            ScheduledTask next = tasks.poll();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** Runs until every live instance has {@code generation}, for at most {@code limit}; returns the elapsed time. */
    Duration runUntil(long generation, Duration limit) {
        Duration start = now;
        while (minGeneration() < generation && now.minus(start).compareTo(limit) < 0) {
            run(Duration.ofMillis(100));
        }
        return now.minus(start);
    }

    int calls(Duration from, Duration to) {
        return callsBySecond.subMap(from.toSeconds(), to.toSeconds()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    int maxCallsPerSecond(Duration from, Duration to) {
        return callsBySecond.subMap(from.toSeconds(), to.toSeconds()).values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    int waitingWatches() {
        return watches.size();
    }

    Duration now() {
        return now;
    }

    long peerBytes() {
        return peerBytes;
    }

    long peerCalls() {
        return peerCalls;
    }

    private void start(Node node) {
        node.agent = ConfigAgent.create(node.id, AgentTiming.standard(), random.split());
        int incarnation = ++node.incarnation;
        schedule(now.plusMillis(random.nextInt(250)), () -> tick(node, incarnation));
    }

    private void tick(Node node, int incarnation) {
        if (node.incarnation == incarnation) {
            deliver(node, incarnation, new AgentEvent.Tick(view(node)));
            schedule(now.plus(TICK_INTERVAL), () -> tick(node, incarnation));
        }
    }

    private void deliver(Node node, int incarnation, AgentEvent event) {
        if (node.incarnation != incarnation || !node.isAlive) {
            return;
        }
        long before = node.generation();
        node.agent.handle(event, now).forEach(action -> perform(node, incarnation, action));
        if (node.generation() < before) {
            throw new AssertionError(node.id + " went back from " + before + " to " + node.generation());
        }
    }

    private void perform(Node node, int incarnation, AgentAction action) {
        switch (action) {
            case AgentAction.ReadHead read -> call(node, incarnation, () -> new AgentEvent.HeadRead(headRead()));
            case AgentAction.Watch watch -> watch(node, incarnation, watch.revision());
            case AgentAction.Load load -> call(node, incarnation, () -> load(load));
            case AgentAction.Restore restore -> call(node, incarnation, () -> restore(restore.config()));
            case AgentAction.AskPeer ask -> ask(node, incarnation, ask);
            case AgentAction.Adopt adopt -> {
                // the agent has already adopted it
            }
            case AgentAction.Reject reject -> {
                // instances only log it
            }
        }
    }

    private void call(Node node, int incarnation, Supplier<AgentEvent> answer) {
        callsBySecond.merge(now.toSeconds(), 1, Integer::sum);
        schedule(
                now.plus(CALL_LATENCY),
                () -> deliver(node, incarnation, outage ? new AgentEvent.PlatformFailed("outage") : answer.get()));
    }

    private Head headRead() {
        PublishedConfig read = remainingStaleReads > 0 && remainingStaleReads-- > 0 ? previous : head;
        return new Head(version, read.manifest(), read.hash());
    }

    private AgentEvent load(AgentAction.Load load) {
        return load.head().hash().equals(head.hash())
                ? new AgentEvent.Loaded(CheckedConfig.check(head).value())
                : new AgentEvent.PlatformFailed("a piece is missing");
    }

    private AgentEvent restore(PublishedConfig config) {
        if (head.manifest().generation() < config.manifest().generation()) {
            setHead(config);
        }
        return new AgentEvent.RestoreEnded(true);
    }

    private void watch(Node node, int incarnation, long after) {
        callsBySecond.merge(now.toSeconds(), 1, Integer::sum);
        Runnable[] end = new Runnable[1];
        end[0] = () -> {
            if (watches.remove(end[0])) {
                boolean isComplete = remainingWatchGaps <= 0 || remainingWatchGaps-- <= 0;
                Optional<Head> seen = version > after && isComplete
                        ? Optional.of(new Head(version, head.manifest(), head.hash()))
                        : Optional.empty();
                AgentEvent event = outage
                        ? new AgentEvent.PlatformFailed("outage")
                        : new AgentEvent.WatchEnded(version, isComplete, seen);
                schedule(now.plus(CALL_LATENCY), () -> deliver(node, incarnation, event));
            }
        };
        watches.add(end[0]);
        boolean endsImmediately = outage || version > after;
        schedule(endsImmediately ? now : now.plus(AgentTiming.standard().watchTimeout()), end[0]);
    }

    private void ask(Node node, int incarnation, AgentAction.AskPeer ask) {
        peerCalls++;
        Node peer = byId.get(ask.peer());
        if (!arePeersReachable || !peer.isAlive) {
            schedule(now.plus(PEER_TIMEOUT), () -> deliver(node, incarnation, new AgentEvent.PeerFailed(ask.peer())));
            return;
        }
        PublishedConfig config = peer.agent.current();
        boolean isNewer = config.generation().isAfter(ask.known().generation());
        Optional<CheckedConfig> offered = isNewer ? Optional.of(offer(config, ask.known())) : Optional.empty();
        schedule(
                now.plus(CALL_LATENCY),
                () -> deliver(node, incarnation, new AgentEvent.PeerAnswered(ask.peer(), offered)));
    }

    private CheckedConfig offer(PublishedConfig config, PublishedConfig known) {
        ConfigOffer offer = ConfigOffer.of(config, known.manifest());
        peerBytes += offer.text().length();
        Result<CheckedConfig, String> checked = offer.assemble(known).flatMap(CheckedConfig::check);
        return checked.value();
    }

    private void setHead(PublishedConfig config) {
        head = config;
        version++;
        endWatches();
    }

    private void endWatches() {
        List.copyOf(watches).forEach(Runnable::run);
    }

    private void refreshViewsPeriodically() {
        refreshViews();
        schedule(now.plus(VIEW_REFRESH_INTERVAL), this::refreshViewsPeriodically);
    }

    private void refreshViews() {
        List<Node> seen = nodes.stream()
                .filter(node -> node.isAlive || now.minus(node.aliveChangedAt).compareTo(VIEW_LAG) < 0)
                .toList();
        List<InstanceId> ids = seen.stream().map(node -> node.id).toList();
        if (!ids.equals(liveIds)) {
            liveIds = ids;
            nodes.forEach(node ->
                    node.others = ids.stream().filter(id -> !id.equals(node.id)).toList());
        }
        newestFirst = seen.stream()
                .filter(node -> node.isAlive && node.agent != null)
                .map(node -> new ConfigPeers.PeerGeneration(node.id, Generation.of(node.generation())))
                .sorted(Comparator.comparing(ConfigPeers.PeerGeneration::generation)
                        .reversed()
                        .thenComparing(
                                newest -> Sha256.of(now + newest.instance().value())))
                .limit(1)
                .toList();
        Map<Integer, List<InstanceId>> ranked = new HashMap<>();
        for (Node node : nodes) {
            node.ranked = ranked.computeIfAbsent(node.zone, zone -> seen.stream()
                    .filter(other -> other.zone == zone)
                    .map(other -> other.id)
                    .sorted(Comparator.comparing(id -> Sha256.of("config" + id.value())))
                    .toList());
        }
    }

    private ConfigPeers.View view(Node node) {
        return new ConfigPeers.View(
                node.ranked, node.others, newestFirst.stream().findFirst(), List.of());
    }

    private void schedule(Duration time, Runnable task) {
        tasks.add(new ScheduledTask(time, order++, task));
    }
}
