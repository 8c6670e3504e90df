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

/** Agents on virtual time with a platform that counts calls; peers and their view are given as facts. */
final class SimulatedFleet {

    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration LATENCY = Duration.ofMillis(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration VIEW_LAG = Duration.ofSeconds(2);
    private static final Duration VIEW_PERIOD = Duration.ofSeconds(1);

    /** A thing to do at a time; those of the same time in the order in which they were added. */
    private record Timed(Duration at, long order, Runnable task) {}

    /** One instance. */
    static final class Node {

        private final InstanceId id;
        private final int zone;
        private ConfigAgent agent;
        private int run;
        private boolean alive = true;
        private Duration changedAt = Duration.ZERO;
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
    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparing(Timed::at).thenComparing(Timed::order));
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InstanceId, Node> byId = new HashMap<>();
    private final TreeMap<Long, Integer> callsBySecond = new TreeMap<>();
    private final List<Runnable> watches = new ArrayList<>();
    private final boolean peersAnswer;
    private PublishedConfig head = PublishedConfig.initial();
    private PublishedConfig copy = head;
    private long version = 1;
    private boolean outage;
    private int staleReads;
    private int gaps;
    private PublishedConfig previous = head;
    private List<InstanceId> liveIds = List.of();
    private List<ConfigPeers.PeerGeneration> newestFirst = List.of();
    private Duration now = Duration.ZERO;
    private long order;
    private long peerBytes;
    private long peerCalls;

    SimulatedFleet(int size, int zones, boolean peersAnswer, long seed) {
        this.random = new SplittableRandom(seed);
        this.peersAnswer = peersAnswer;
        for (int i = 0; i < size; i++) {
            Node node = new Node(InstanceId.of(String.format("n%03d", i)), i % zones);
            nodes.add(node);
            byId.put(node.id, node);
        }
        refreshViews();
        nodes.forEach(this::start);
        at(now.plus(VIEW_PERIOD), this::refreshViewsAgain);
    }

    List<Node> live() {
        return nodes.stream().filter(node -> node.alive).toList();
    }

    List<Node> watchers(int zone) {
        return live().stream()
                .filter(node -> node.zone == zone && node.agent.isWatcher())
                .toList();
    }

    long leastGeneration() {
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

    void saveCopy() {
        copy = head;
    }

    void restoreCopy() {
        setHead(copy);
    }

    PublishedConfig stored() {
        return head;
    }

    void outage(boolean on) {
        outage = on;
        if (on) {
            wakeWatches();
        }
    }

    void staleReads(int reads) {
        staleReads = reads;
    }

    void watchGaps(int watches) {
        gaps = watches;
    }

    void kill(Node node) {
        node.alive = false;
        node.run++;
        node.changedAt = now;
    }

    void restart(Node node) {
        node.alive = true;
        node.changedAt = now;
        start(node);
    }

    void run(Duration time) {
        Duration end = now.plus(time);
        while (!queue.isEmpty() && queue.peek().at().compareTo(end) <= 0) {
            Timed next = queue.poll();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** Runs until every live instance has {@code generation}, at most {@code longest}; returns the time it took. */
    Duration runUntil(long generation, Duration longest) {
        Duration start = now;
        while (leastGeneration() < generation && now.minus(start).compareTo(longest) < 0) {
            run(Duration.ofMillis(100));
        }
        return now.minus(start);
    }

    int calls(Duration from, Duration to) {
        return callsBySecond.subMap(from.toSeconds(), to.toSeconds()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    int mostCallsInASecond(Duration from, Duration to) {
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
        int run = ++node.run;
        at(now.plusMillis(random.nextInt(250)), () -> tick(node, run));
    }

    private void tick(Node node, int run) {
        if (node.run == run) {
            tell(node, run, new AgentEvent.Tick(view(node)));
            at(now.plus(TICK), () -> tick(node, run));
        }
    }

    private void tell(Node node, int run, AgentEvent event) {
        if (node.run != run || !node.alive) {
            return;
        }
        long before = node.generation();
        node.agent.handle(event, now).forEach(action -> act(node, run, action));
        if (node.generation() < before) {
            throw new AssertionError(node.id + " went back from " + before + " to " + node.generation());
        }
    }

    private void act(Node node, int run, AgentAction action) {
        switch (action) {
            case AgentAction.ReadHead read -> call(node, run, () -> new AgentEvent.HeadRead(headRead()));
            case AgentAction.Watch watch -> watch(node, run, watch.revision());
            case AgentAction.Load load -> call(node, run, () -> load(load));
            case AgentAction.Restore restore -> call(node, run, () -> restore(restore.config()));
            case AgentAction.AskPeer ask -> ask(node, run, ask);
            case AgentAction.Adopt adopt -> {
                // the agent has adopted it
            }
            case AgentAction.Reject reject -> {
                // only logged
            }
        }
    }

    private void call(Node node, int run, Supplier<AgentEvent> answer) {
        callsBySecond.merge(now.toSeconds(), 1, Integer::sum);
        at(now.plus(LATENCY), () -> tell(node, run, outage ? new AgentEvent.PlatformFailed("out") : answer.get()));
    }

    private Head headRead() {
        PublishedConfig read = staleReads > 0 && staleReads-- > 0 ? previous : head;
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

    private void watch(Node node, int run, long after) {
        callsBySecond.merge(now.toSeconds(), 1, Integer::sum);
        Runnable[] end = new Runnable[1];
        end[0] = () -> {
            if (watches.remove(end[0])) {
                boolean isComplete = gaps <= 0 || gaps-- <= 0;
                Optional<Head> seen = version > after && isComplete
                        ? Optional.of(new Head(version, head.manifest(), head.hash()))
                        : Optional.empty();
                AgentEvent event = outage
                        ? new AgentEvent.PlatformFailed("out")
                        : new AgentEvent.WatchEnded(version, isComplete, seen);
                at(now.plus(LATENCY), () -> tell(node, run, event));
            }
        };
        watches.add(end[0]);
        boolean isAtOnce = outage || version > after;
        at(isAtOnce ? now : now.plus(AgentTiming.standard().watchTimeout()), end[0]);
    }

    private void ask(Node node, int run, AgentAction.AskPeer ask) {
        peerCalls++;
        Node peer = byId.get(ask.peer());
        if (!peersAnswer || !peer.alive) {
            at(now.plus(TIMEOUT), () -> tell(node, run, new AgentEvent.PeerFailed(ask.peer())));
            return;
        }
        PublishedConfig config = peer.agent.current();
        boolean isNewer = config.generation().isAfter(ask.known().generation());
        Optional<CheckedConfig> offered = isNewer ? Optional.of(offer(config, ask.known())) : Optional.empty();
        at(now.plus(LATENCY), () -> tell(node, run, new AgentEvent.PeerAnswered(ask.peer(), offered)));
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
        wakeWatches();
    }

    private void wakeWatches() {
        List.copyOf(watches).forEach(Runnable::run);
    }

    private void refreshViewsAgain() {
        refreshViews();
        at(now.plus(VIEW_PERIOD), this::refreshViewsAgain);
    }

    private void refreshViews() {
        List<Node> seen = nodes.stream()
                .filter(node -> node.alive || now.minus(node.changedAt).compareTo(VIEW_LAG) < 0)
                .toList();
        List<InstanceId> ids = seen.stream().map(node -> node.id).toList();
        if (!ids.equals(liveIds)) {
            liveIds = ids;
            nodes.forEach(node ->
                    node.others = ids.stream().filter(id -> !id.equals(node.id)).toList());
        }
        newestFirst = seen.stream()
                .filter(node -> node.alive && node.agent != null)
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

    private void at(Duration time, Runnable task) {
        queue.add(new Timed(time, order++, task));
    }
}
