package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.LoadTracker.Urgency;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quota.WorkspaceUse;
import org.mangoridge.gateway.exchange.GatewayContext;

/** Sends and receives load reports over UDP on behalf of {@link LoadGossip}; confined to one event loop. */
public final class LoadGossipTransport {

    /** Interval at which timed out peers are removed, a tenth of {@link PeerTable#PEER_TIMEOUT}. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(400);

    private final GatewayContext context;
    private final PeerTable table;
    private final LoadGossip gossip;
    private final Runnable onPeerLoadChange;
    private Channel channel;
    private ScheduledFuture<?> timer;
    private Duration scheduledFor;
    private Duration lastExpiry = Duration.ZERO;

    /** What an instance tells its peers, from the components that its requests use. */
    private record ContextState(GatewayContext context, Supplier<LoadReport.StoreVersions> versions)
            implements LocalState {

        @Override
        public Map<ServerId, ServerLoad> loads() {
            return context.loads().ownLoads();
        }

        @Override
        public Map<ServiceId, Integer> demands() {
            return context.limiter().demand(context.now());
        }

        @Override
        public List<WorkspaceUse> workspaceUses() {
            return context.quotas().told(context.now());
        }

        @Override
        public LoadReport.StoreVersions storeVersions() {
            return versions.get();
        }

        @Override
        public CrashEvidence evidence() {
            return context.crashGuard().evidence();
        }

        @Override
        public List<LimitStatus> limits() {
            return context.limiter().statuses(context.now());
        }

        @Override
        public List<LeavingRun> leavingRuns() {
            return context.directory().leavingRuns(context.now());
        }
    }

    private LoadGossipTransport(GatewayContext context, PeerTable table, LoadGossip gossip, Runnable onPeerLoadChange) {
        this.context = context;
        this.table = table;
        this.gossip = gossip;
        this.onPeerLoadChange = onPeerLoadChange;
    }

    /**
     * Returns a transport that is not started yet.
     *
     * @param context has what is told to peers, and receives what they tell
     * @param self this run of this instance
     * @param storeVersions supplies the versions of stored data that this instance has
     * @param onPeerLoadChange called after reports of peers have been applied
     */
    public static LoadGossipTransport create(
            GatewayContext context,
            LoadReport.Origin self,
            PeerTable table,
            Supplier<LoadReport.StoreVersions> storeVersions,
            Runnable onPeerLoadChange) {
        LoadGossip gossip = LoadGossip.create(self, table, new ContextState(context, storeVersions));
        return new LoadGossipTransport(context, table, gossip, onPeerLoadChange);
    }

    /** Binds to {@code address} and starts to send and receive reports. */
    public ChannelFuture start(HostPort address) {
        ChannelFuture bound = new Bootstrap()
                .group(context.loop())
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext channelContext, DatagramPacket packet) {
                        receive(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
                        context.log().log(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", cause));
                    }
                })
                .bind(address.socketAddress());
        channel = bound.channel();
        return bound;
    }

    /** Schedules a report after the load of this instance changed. */
    public void loadChanged(Urgency urgency) {
        if (channel != null) {
            gossip.ownLoadChanged(urgency, context.now());
            schedule();
        }
    }

    /** Schedules evidence of a crash, or a limit or departure of a server, that this instance has observed. */
    public void evidenceObserved() {
        if (channel != null) {
            gossip.evidenceChanged(context.now());
            schedule();
        }
    }

    /** Sends the peers a last report that this instance is shutting down. */
    public void leave() {
        if (channel != null) {
            send(gossip.leaveDatagrams());
        }
    }

    /** Schedules a report after a workspace was refused what it asked for. */
    public void useChanged() {
        gossip.ownUseChanged(context.now());
        schedule();
    }

    /** Removes timed out peers and sends due reports; to be called several times a second. */
    public void tick() {
        Duration now = context.now();
        if (now.minus(lastExpiry).compareTo(EXPIRY_INTERVAL) < 0) {
            return;
        }
        lastExpiry = now;
        for (InstanceId gone : gossip.expire(now)) {
            context.limiter().peerLost(gone, now);
            context.log().log(LogEvent.PEER_GONE, Field.of("peer", gone), Field.of("peers", table.size()));
        }
        context.loads().expire(now);
        sendDue();
    }

    private void sendDue() {
        send(gossip.dueDatagrams(context.now()));
        schedule();
    }

    private void schedule() {
        Duration next = gossip.nextDue();
        if (timer != null && !timer.isDone() && next.equals(scheduledFor)) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        long wait = Math.max(0, next.minus(context.now()).toNanos());
        scheduledFor = next;
        timer = context.loop().schedule(this::sendDue, wait, TimeUnit.NANOSECONDS);
    }

    private void send(List<LoadGossip.Datagram> datagrams) {
        for (LoadGossip.Datagram datagram : datagrams) {
            channel.write(new DatagramPacket(
                    Unpooled.wrappedBuffer(datagram.bytes()), datagram.to().socketAddress()));
        }
        if (!datagrams.isEmpty()) {
            channel.flush();
        }
    }

    private void receive(DatagramPacket packet) {
        HostPort from = new HostPort(
                packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
        Duration now = context.now();
        LoadGossip.Reception reception = gossip.receive(ByteBufUtil.getBytes(packet.content()), from, now);
        reception
                .error()
                .ifPresent(error -> context.log().log(
                        LogEvent.PEER_CONNECTION_FAILED,
                        Field.of("address", from),
                        Field.of("detail", "undecodable load report: " + error)));
        if (!reception.evidence().isEmpty()
                && context.crashGuard().merge(reception.evidence())
                && gossip.passesEvidenceOn()) {
            gossip.evidenceChanged(now);
        }
        if (context.calls().mergeLimits(reception.limits()) && gossip.passesEvidenceOn()) {
            gossip.evidenceChanged(now);
        }
        if (context.calls().mergeLeavingRuns(reception.leavingRuns()) && gossip.passesEvidenceOn()) {
            gossip.evidenceChanged(now);
        }
        for (LoadGossip.ReceivedReport received : reception.reports()) {
            LoadReport report = received.report();
            logMembershipChange(report, received.outcome(), from);
            context.loads().replacePeerLoads(report.origin().instance(), report.loads(), now);
            if (received.outcome() == PeerTable.Outcome.LEFT) {
                context.limiter().peerLeft(report.origin().instance());
                context.quotas().peerLeft(report.origin().instance());
            } else {
                context.limiter().peerHeard(report.origin().instance(), report.demands());
                context.quotas()
                        .peerHeard(report.origin().instance(), report.origin().startedMillis(), report.uses(), now);
            }
        }
        schedule();
        if (!reception.reports().isEmpty()) {
            onPeerLoadChange.run();
        }
    }

    private void logMembershipChange(LoadReport report, PeerTable.Outcome outcome, HostPort from) {
        switch (outcome) {
            case JOINED ->
                context.log().log(
                        LogEvent.PEER_JOINED,
                        Field.of("peer", report.origin().instance()),
                        Field.of("address", report.origin().address()),
                        Field.of("told_by", from),
                        Field.of("peers", table.size()));
            case LEFT ->
                context.log().log(
                        LogEvent.PEER_GONE,
                        Field.of("peer", report.origin().instance()),
                        Field.of("cause", "leaving"),
                        Field.of("peers", table.size()));
            default -> {
                // Membership is unchanged.
            }
        }
    }
}
