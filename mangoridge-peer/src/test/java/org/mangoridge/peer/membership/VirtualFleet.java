package org.mangoridge.peer.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/** Simulates instances on virtual time, with links that can be cut and processes that can be killed or paused. */
final class VirtualFleet {

    private static final MembershipTiming TIMING = MembershipTiming.standard();
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final int MAX_JITTER_MILLIS = 3;

    /** An action that an instance reported, and when. */
    record RecordedAction(Duration at, InstanceId by, MembershipAction action) {}

    private record Task(Duration at, long order, Runnable run) {}

    /** A simulated process of an instance. */
    final class Node {

        final Membership membership;
        final Member member;
        private boolean killed;
        private boolean paused;
        private final List<Runnable> deferred = new ArrayList<>();
        long sentBytes;
        long sentMessages;

        private Node(Member member, List<HostPort> seeds) {
            this.member = member;
            this.membership = Membership.create(TIMING, member, seeds, random.split());
        }

        PeerView view() {
            return membership.view(now);
        }

        private void runLater(Duration delay, Runnable run) {
            schedule(delay, () -> {
                if (paused) {
                    deferred.add(run);
                } else if (!killed) {
                    run.run();
                }
            });
        }

        private void tick() {
            on(new MembershipEvent.Tick(), answer -> {});
            runLater(TIMING.probeInterval(), this::tick);
        }

        void on(MembershipEvent event, Consumer<GossipMessage> answer) {
            for (MembershipAction action : membership.on(event, now)) {
                switch (action) {
                    case MembershipAction.Probe probe -> probe(probe);
                    case MembershipAction.Answer reply -> answer.accept(reply.message());
                    default -> actions.add(new RecordedAction(now, member.id(), action));
                }
            }
        }

        private void probe(MembershipAction.Probe probe) {
            count(probe.message());
            boolean[] completed = {false};
            runLater(TIMING.probeTimeout(), () -> failOnce(completed, probe.address(), false));
            Node target = byAddress.get(probe.address());
            if (target == null || isCut(this, target)) {
                return;
            }
            if (target.killed) {
                runLater(latency(), () -> failOnce(completed, probe.address(), true));
                return;
            }
            target.runLater(
                    latency(),
                    () -> target.on(new MembershipEvent.Received(probe.message()), reply -> {
                        target.count(reply);
                        if (isCut(target, this)) {
                            return;
                        }
                        runLater(latency(), () -> {
                            if (!completed[0]) {
                                completed[0] = true;
                                on(new MembershipEvent.ProbeAnswered(probe.address(), reply), unused -> {});
                            }
                        });
                    }));
        }

        private void failOnce(boolean[] completed, HostPort address, boolean refused) {
            if (!completed[0]) {
                completed[0] = true;
                on(new MembershipEvent.ProbeFailed(address, refused), unused -> {});
            }
        }

        private void count(GossipMessage message) {
            sentMessages++;
            sentBytes += sizer.applyAsInt(message);
        }
    }

    final List<RecordedAction> actions = new ArrayList<>();
    final Map<InstanceId, Node> nodes = new LinkedHashMap<>();
    private final Map<HostPort, Node> byAddress = new LinkedHashMap<>();
    private final Set<List<InstanceId>> cuts = new HashSet<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::order));
    private final SplittableRandom random;
    private ToIntFunction<GossipMessage> sizer = message -> 0;
    private Duration now = Duration.ZERO;
    private long order;

    VirtualFleet(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Returns a fleet of {@code size} instances in {@code zones} zones that has run until the views converged. */
    static VirtualFleet converged(long seed, int size, int zones) {
        VirtualFleet fleet = new VirtualFleet(seed);
        for (int i = 0; i < size; i++) {
            fleet.start(id(i), 1, zone(i % zones), address(i));
        }
        fleet.run(Duration.ofSeconds(40));
        return fleet;
    }

    /** Counts the bytes of messages, computed by {@code newSizer}, from now on. */
    void measureSizesWith(ToIntFunction<GossipMessage> newSizer) {
        sizer = newSizer;
    }

    static InstanceId id(int number) {
        return InstanceId.of("entry-" + number);
    }

    static AvailabilityZone zone(int number) {
        return AvailabilityZone.of("zone-" + number);
    }

    static HostPort address(int number) {
        return new HostPort("10.0." + number / 200 + "." + (number % 200 + 1), 7400);
    }

    Duration now() {
        return now;
    }

    Node node(int number) {
        return nodes.get(id(number));
    }

    Node start(InstanceId id, long incarnation, AvailabilityZone zone, HostPort address) {
        Member member =
                new Member(id, Incarnation.of(incarnation), zone, address, ServingState.SERVING, Generation.of(1));
        Node node = new Node(member, List.of(address(0), address(1), address(2)));
        nodes.put(id, node);
        byAddress.put(address, node);
        node.runLater(
                Duration.ofMillis(random.nextInt((int) TIMING.probeInterval().toMillis())), node::tick);
        return node;
    }

    void kill(int number) {
        node(number).killed = true;
    }

    /** Removes the machine, so that probes time out instead of being refused. */
    void removeMachine(int number) {
        Node node = node(number);
        node.killed = true;
        byAddress.remove(node.member.address());
    }

    void pause(int number) {
        node(number).paused = true;
    }

    void resume(int number) {
        Node node = node(number);
        node.paused = false;
        List<Runnable> deferred = List.copyOf(node.deferred);
        node.deferred.clear();
        deferred.forEach(Runnable::run);
    }

    /** Drops all messages from {@code from} to {@code to}. */
    void cut(int from, int to) {
        cuts.add(List.of(id(from), id(to)));
    }

    void heal() {
        cuts.clear();
    }

    void run(Duration span) {
        Duration end = now.plus(span);
        while (!tasks.isEmpty() && tasks.peek().at().compareTo(end) <= 0) {
            Task task = tasks.poll();
            now = task.at();
            task.run().run();
        }
        now = end;
    }

    /** Returns the nodes that are neither killed nor paused. */
    List<Node> running() {
        return nodes.values().stream()
                .filter(node -> !node.killed && !node.paused)
                .toList();
    }

    /** Returns the actions of one type that were reported at or after {@code since}. */
    <T extends MembershipAction> List<RecordedAction> actions(Class<T> kind, Duration since) {
        return actions.stream()
                .filter(recorded ->
                        kind.isInstance(recorded.action()) && recorded.at().compareTo(since) >= 0)
                .toList();
    }

    private boolean isCut(Node from, Node to) {
        return cuts.contains(List.of(from.member.id(), to.member.id()));
    }

    private Duration latency() {
        return LATENCY.plusMillis(random.nextInt(MAX_JITTER_MILLIS));
    }

    private void schedule(Duration delay, Runnable run) {
        tasks.add(new Task(now.plus(delay), order++, run));
    }
}
