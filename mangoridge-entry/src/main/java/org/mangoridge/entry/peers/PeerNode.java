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
 * The membership node of this instance: runs the membership state machine on the control thread and exchanges its
 * messages over Thrift RPC.
 *
 * <p>The public methods may be called by any thread.
 */
public final class PeerNode implements AutoCloseable {

    private static final Duration GOSSIP_ANSWER_TIMEOUT = Duration.ofMillis(300);
    private static final Duration LIST_READ_INTERVAL = Duration.ofSeconds(5);
    private static final String LIST_RANKING_KEY = "instance-list";
    private static final int LIST_READERS_PER_ZONE = 2;
    private static final Duration CONFIG_FETCH_TIMEOUT = Duration.ofSeconds(2);

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
        this.server =
                PeerServer.start(settings.peerAddress(), sockets, PeerLimits.standard(), new RequestHandler(config));
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
     * Starts listening for peers and probing them.
     *
     * @param random the source of random numbers; must be safe for use by several threads
     * @param config returns the configuration in force if it is newer than the given generation
     * @param inFlight counts the in-flight requests of this instance; read on the control thread
     * @throws IllegalStateException if the peer address can't be bound
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

    /** Starts reading the platform's list of instances from {@code store} periodically. */
    public void followInstanceList(ObjectStore store) {
        timer.scheduleWithFixedDelay(() -> readList(store), 0, LIST_READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the address that this instance listens on for peers. */
    public HostPort address() {
        return server.address();
    }

    /** Returns the current membership view. */
    public PeerView view() {
        return view;
    }

    /** Changes the serving state that this instance announces to peers. */
    public void changeState(ServingState state) {
        control.post(() -> apply(new MembershipEvent.StateChanged(state)));
    }

    /** Announces to peers the generation of the configuration that this instance has in force. */
    public void announceConfig(Generation generation) {
        control.post(() -> apply(new MembershipEvent.ConfigAdopted(generation)));
    }

    /** Fetches the configuration of a peer if it is newer than {@code known}; blocks for a bounded time. */
    public Result<PeerConfig, PeerFailure> fetchConfig(HostPort peer, Generation known) {
        return client.config(peer, known, CONFIG_FETCH_TIMEOUT);
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

    /** Handles an event on the control thread; returns the message to answer with, or null if there is none. */
    private GossipMessage apply(MembershipEvent event) {
        List<MembershipAction> actions = membership.on(event, clock.elapsed());
        view = membership.view(clock.elapsed());
        GossipMessage answer = null;
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Answer reply) {
                answer = reply.message();
            } else {
                execute(action);
            }
        }
        return answer;
    }

    private void execute(MembershipAction action) {
        switch (action) {
            case MembershipAction.Probe probe -> startCall(() -> probe(probe));
            case MembershipAction.Answer answer -> {}
            case MembershipAction.Joined joined -> {
                listener.peerJoined(joined.member().owner());
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
                listener.peerGone(gone.owner(), gone.reason());
            }
            case MembershipAction.InFlightReported reported ->
                listener.inFlightReported(reported.peer(), reported.inFlight());
            case MembershipAction.Superseded superseded -> {
                EventLog.write(LogEvent.INSTANCE_SUPERSEDED, Field.of("later", superseded.later()));
                listener.superseded(superseded.later());
            }
        }
    }

    private void startCall(Runnable call) {
        try {
            calls.execute(call);
        } catch (RejectedExecutionException e) {
            // the node is closing and makes no more calls
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

    /** Returns whether this instance reads the list; few do so in each zone, and the others learn it by gossip. */
    private boolean isListReader() {
        List<InstanceId> zone = view.liveInZone().stream().map(Member::id).toList();
        return Rendezvous.rank(LIST_RANKING_KEY, zone).stream()
                .limit(LIST_READERS_PER_ZONE)
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

    /** Answers requests of peers, on the threads of their connections. */
    private final class RequestHandler implements PeerHandler {

        private final Function<Generation, PeerConfig> config;

        private RequestHandler(Function<Generation, PeerConfig> config) {
            this.config = config;
        }

        @Override
        public GossipMessage exchange(GossipMessage message) {
            try {
                return control.submit(() -> apply(new MembershipEvent.Received(message)))
                        .get(GOSSIP_ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(
                        "interrupted while waiting for the control thread; the node is closing", e);
            } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
                throw new IllegalStateException("the control thread did not process the gossip message", e);
            }
        }

        @Override
        public PeerConfig config(Generation known) {
            return config.apply(known);
        }
    }
}
