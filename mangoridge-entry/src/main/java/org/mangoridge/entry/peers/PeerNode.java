package org.mangoridge.entry.peers;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.peer.membership.GossipMessage;
import org.mangoridge.peer.membership.ListedPeer;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.Membership;
import org.mangoridge.peer.membership.MembershipAction;
import org.mangoridge.peer.membership.MembershipEvent;
import org.mangoridge.peer.membership.MembershipTiming;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.membership.Rendezvous;
import org.mangoridge.peer.membership.ServingState;
import org.mangoridge.peer.rpc.PeerClient;
import org.mangoridge.peer.rpc.PeerConfig;
import org.mangoridge.peer.rpc.PeerFailure;
import org.mangoridge.peer.rpc.PeerHandler;
import org.mangoridge.peer.rpc.PeerLimits;
import org.mangoridge.peer.rpc.PeerServer;
import org.mangoridge.peer.rpc.PeerSockets;
import org.mangoridge.settings.InstanceSettings;

/**
 * This instance among the others: runs the state machine of membership on the control thread and binds it to Thrift.
 *
 * <p>Any thread may ask for the view.
 */
public final class PeerNode implements AutoCloseable {

    private static final Duration ANSWER_LIMIT = Duration.ofMillis(300);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(5);
    private static final String LIST_RANKING = "instance-list";
    private static final int LIST_READERS = 2;
    private static final Duration CONFIG_TIMEOUT = Duration.ofSeconds(2);

    private final ControlLoop control;
    private final Clock clock;
    private final MembershipTiming timing = MembershipTiming.standard();
    private final PeerClient client;
    private final PeerServer server;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofVirtual().name("instance-list").factory());
    private final Membership membership;
    private final PeerListener listener;
    private final InFlightCounter inFlight;
    private volatile PeerView view;

    private PeerNode(
            InstanceSettings settings,
            Owner owner,
            ControlLoop control,
            Clock clock,
            RandomGenerator random,
            Function<Generation, PeerConfig> config,
            InFlightCounter inFlight,
            PeerListener listener) {
        this.control = control;
        this.clock = clock;
        this.inFlight = inFlight;
        this.listener = listener;
        PeerSockets sockets = PeerSockets.plaintext();
        this.client = PeerClient.create(sockets, PeerLimits.standard(), clock, random);
        this.server = PeerServer.start(settings.peerAddress(), sockets, PeerLimits.standard(), new Answers(config));
        Member self = new Member(
                owner.instance(),
                owner.incarnation(),
                settings.zone(),
                server.address(),
                ServingState.SERVING,
                Generation.of(0));
        this.membership = Membership.create(timing, self, settings.seeds(), random);
        this.view = membership.view(clock.elapsed());
    }

    /**
     * Starts listening for peers and looking for them.
     *
     * @param random draws random numbers; safe for use by several threads
     * @param config gives the configuration in force if it is newer than the generation asked with
     * @param inFlight counts the requests of this instance, on the control thread
     * @throws IllegalStateException if the address can't be listened on
     */
    public static PeerNode start(
            InstanceSettings settings,
            Owner owner,
            ControlLoop control,
            Clock clock,
            RandomGenerator random,
            Function<Generation, PeerConfig> config,
            InFlightCounter inFlight,
            PeerListener listener) {
        PeerNode node = new PeerNode(settings, owner, control, clock, random, config, inFlight, listener);
        control.every(node.timing.probeInterval(), node::tick);
        return node;
    }

    /** Starts reading the platform's list of instances from {@code store} at intervals. */
    public void followList(ObjectStore store) {
        timer.scheduleWithFixedDelay(() -> readList(store), 0, LIST_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the address that peers connect to. */
    public HostPort address() {
        return server.address();
    }

    /** Returns what is known of the other instances now. */
    public PeerView view() {
        return view;
    }

    /** Tells peers that this instance changed its state. */
    public void changeState(ServingState state) {
        control.post(() -> apply(new MembershipEvent.StateChanged(state)));
    }

    /** Tells peers which configuration this instance has in force. */
    public void adopted(Generation generation) {
        control.post(() -> apply(new MembershipEvent.ConfigAdopted(generation)));
    }

    /** Asks a peer for its configuration if that is newer than {@code known}; blocks for a bounded time. */
    public Result<PeerConfig, PeerFailure> config(HostPort peer, Generation known) {
        return client.config(peer, known, CONFIG_TIMEOUT);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
        calls.shutdownNow();
        client.close();
    }

    private void tick() {
        apply(new MembershipEvent.InFlightCounted(inFlight.counts()));
        apply(new MembershipEvent.Tick());
    }

    /** Runs on the control thread; returns the answer if the event calls for one. */
    private GossipMessage apply(MembershipEvent event) {
        List<MembershipAction> actions = membership.on(event, clock.elapsed());
        view = membership.view(clock.elapsed());
        GossipMessage answer = null;
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Answer reply) {
                answer = reply.message();
            } else {
                carryOut(action);
            }
        }
        return answer;
    }

    private void carryOut(MembershipAction action) {
        switch (action) {
            case MembershipAction.Probe probe -> start(() -> probe(probe));
            case MembershipAction.Answer answer -> {}
            case MembershipAction.Joined joined -> {
                listener.joined(joined.member().owner());
                EventLog.write(
                        LogEvent.PEER_JOINED,
                        Field.of("peer", joined.member().owner()),
                        Field.of("zone", joined.member().zone()),
                        Field.of("address", joined.member().address()));
            }
            case MembershipAction.Suspected suspected ->
                EventLog.write(LogEvent.PEER_SUSPECTED, Field.of("peer", suspected.owner()));
            case MembershipAction.Gone gone -> {
                EventLog.write(LogEvent.PEER_GONE, Field.of("peer", gone.owner()), Field.of("reason", gone.reason()));
                listener.gone(gone.owner(), gone.reason());
            }
            case MembershipAction.InFlightReported counted -> listener.counted(counted.peer(), counted.inFlight());
            case MembershipAction.Superseded superseded -> {
                EventLog.write(LogEvent.INSTANCE_SUPERSEDED, Field.of("later", superseded.later()));
                listener.superseded(superseded.later());
            }
        }
    }

    private void start(Runnable call) {
        try {
            calls.execute(call);
        } catch (RejectedExecutionException e) {
            // the node is closing and sends nothing more
        }
    }

    private void probe(MembershipAction.Probe probe) {
        Result<GossipMessage, PeerFailure> result =
                client.exchange(probe.address(), probe.message(), timing.probeTimeout());
        MembershipEvent event =
                switch (result) {
                    case Result.Ok<GossipMessage, PeerFailure> ok ->
                        new MembershipEvent.ProbeAnswered(probe.address(), ok.value());
                    case Result.Err<GossipMessage, PeerFailure> err ->
                        new MembershipEvent.ProbeFailed(
                                probe.address(), err.error().refused());
                };
        control.post(() -> apply(event));
    }

    /** A few instances of each zone read the list; the others hear of it by gossip. */
    private boolean isListReader() {
        List<InstanceId> zone = view.liveInZone().stream().map(Member::id).toList();
        return Rendezvous.rank(LIST_RANKING, zone).stream()
                .limit(LIST_READERS)
                .anyMatch(view.self().id()::equals);
    }

    private void readList(ObjectStore store) {
        if (!isListReader()) {
            return;
        }
        try {
            Result<List<ListedInstance>, StoreFailure> list = store.instances();
            if (list.isOk()) {
                List<ListedPeer> peers = list.value().stream()
                        .map(listed -> new ListedPeer(listed.id(), listed.peerAddress()))
                        .toList();
                control.post(() -> apply(new MembershipEvent.Listed(peers)));
            }
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "instance list"));
        }
    }

    /** Answers peers on their connections' threads. */
    private final class Answers implements PeerHandler {

        private final Function<Generation, PeerConfig> config;

        private Answers(Function<Generation, PeerConfig> config) {
            this.config = config;
        }

        @Override
        public GossipMessage exchange(GossipMessage message) {
            try {
                return control.ask(() -> apply(new MembershipEvent.Received(message)))
                        .get(ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("the node is closing", e);
            } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
                throw new IllegalStateException("the control thread did not answer", e);
            }
        }

        @Override
        public PeerConfig config(Generation known) {
            return config.apply(known);
        }
    }
}
