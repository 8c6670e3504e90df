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

/** Many instances on virtual time, with links that can be cut and processes that can be killed or paused. */
final class VirtualFleet {

    private static final MembershipTiming TIMING = MembershipTiming.standard();
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final int MAX_JITTER_MILLIS = 3;

    /** What an instance noted, and when. */
    record Note(Duration at, InstanceId by, MembershipAction action) {}

    private record Task(Duration at, long order, Runnable run) {}

    /** One process. */
    final class Node {

        final Membership membership;
        final Member member;
        private boolean killed;
        private boolean paused;
        private final List<Runnable> held = new ArrayList<>();
        long sentBytes;
        long sentMessages;

        private Node(Member member, List<HostPort> seeds) {
            this.member = member;
            this.membership = Membership.create(TIMING, member, seeds, random.split());
        }

        PeerView view() {
            return membership.view(now);
        }

        private void later(Duration delay, Runnable run) {
            schedule(delay, () -> {
                if (paused) {
                    held.add(run);
                } else if (!killed) {
                    run.run();
                }
            });
        }

        private void tick() {
            on(new MembershipEvent.Tick(), answer -> {});
            later(TIMING.probeInterval(), this::tick);
        }

        void on(MembershipEvent event, Consumer<GossipMessage> answer) {
            for (MembershipAction action : membership.on(event, now)) {
                switch (action) {
                    case MembershipAction.Probe probe -> probe(probe);
                    case MembershipAction.Answer reply -> answer.accept(reply.message());
                    default -> notes.add(new Note(now, member.id(), action));
                }
            }
        }

        private void probe(MembershipAction.Probe probe) {
            count(probe.message());
            boolean[] done = {false};
            later(TIMING.probeTimeout(), () -> failOnce(done, probe.address(), false));
            Node target = byAddress.get(probe.address());
            if (target == null || cut(this, target)) {
                return;
            }
            if (target.killed) {
                later(latency(), () -> failOnce(done, probe.address(), true));
                return;
            }
            target.later(
                    latency(),
                    () -> target.on(new MembershipEvent.Received(probe.message()), reply -> {
                        target.count(reply);
                        if (cut(target, this)) {
                            return;
                        }
                        later(latency(), () -> {
                            if (!done[0]) {
                                done[0] = true;
                                on(new MembershipEvent.ProbeAnswered(probe.address(), reply), unused -> {});
                            }
                        });
                    }));
        }

        private void failOnce(boolean[] done, HostPort address, boolean refused) {
            if (!done[0]) {
                done[0] = true;
                on(new MembershipEvent.ProbeFailed(address, refused), unused -> {});
            }
        }

        private void count(GossipMessage message) {
            sentMessages++;
            sentBytes += sizer.applyAsInt(message);
        }
    }

    final List<Note> notes = new ArrayList<>();
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

    /** Returns a running fleet of {@code size} instances spread over {@code zones}, after it came together. */
    static VirtualFleet settled(long seed, int size, int zones) {
        VirtualFleet fleet = new VirtualFleet(seed);
        for (int i = 0; i < size; i++) {
            fleet.start(id(i), 1, zone(i % zones), address(i));
        }
        fleet.run(Duration.ofSeconds(40));
        return fleet;
    }

    /** Counts the bytes of messages from now on. */
    void countWith(ToIntFunction<GossipMessage> newSizer) {
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
        node.later(Duration.ofMillis(random.nextInt((int) TIMING.probeInterval().toMillis())), node::tick);
        return node;
    }

    void kill(int number) {
        node(number).killed = true;
    }

    /** Takes the machine away, so that nothing answers that the process is gone. */
    void lose(int number) {
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
        List<Runnable> held = List.copyOf(node.held);
        node.held.clear();
        held.forEach(Runnable::run);
    }

    /** Drops everything that {@code from} sends to {@code to}. */
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

    /** Returns the instances that run and can be reached. */
    List<Node> running() {
        return nodes.values().stream()
                .filter(node -> !node.killed && !node.paused)
                .toList();
    }

    /** Returns the notes of one kind since {@code since}. */
    <T extends MembershipAction> List<Note> notes(Class<T> kind, Duration since) {
        return notes.stream()
                .filter(note -> kind.isInstance(note.action()) && note.at().compareTo(since) >= 0)
                .toList();
    }

    private boolean cut(Node from, Node to) {
        return cuts.contains(List.of(from.member.id(), to.member.id()));
    }

    private Duration latency() {
        return LATENCY.plusMillis(random.nextInt(MAX_JITTER_MILLIS));
    }

    private void schedule(Duration delay, Runnable run) {
        tasks.add(new Task(now.plus(delay), order++, run));
    }
}
