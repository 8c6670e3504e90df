package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.balance.LoadTracker.Urgency;
import org.mangoridge.gateway.exchange.PromptGuard;
import org.mangoridge.gateway.log.EventSink;

/** Sends and receives load reports over UDP on behalf of {@link LoadGossip}; confined to one event loop. */
public final class LoadGossipTransport {

    /** Interval at which timed out peers are removed, a tenth of {@link PeerTable#PEER_TIMEOUT}. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(400);

    private final EventLoop loop;
    private final Clock clock;
    private final PeerTable table;
    private final LoadTracker loads;
    private final LoadGossip gossip;
    private final PromptGuard guard;
    private final Runnable onPeerLoadChange;
    private final EventSink log;
    private Channel channel;
    private ScheduledFuture<?> timer;
    private Duration scheduledFor;
    private Duration lastExpiry = Duration.ZERO;

    private LoadGossipTransport(
            EventLoop loop,
            Clock clock,
            PeerTable table,
            LoadTracker loads,
            LoadGossip gossip,
            PromptGuard guard,
            Runnable onPeerLoadChange,
            EventSink log) {
        this.loop = loop;
        this.clock = clock;
        this.table = table;
        this.loads = loads;
        this.gossip = gossip;
        this.guard = guard;
        this.onPeerLoadChange = onPeerLoadChange;
        this.log = log;
    }

    /**
     * Returns a transport that is not started yet.
     *
     * @param self this run of this instance
     * @param storeVersions supplies the versions of stored data that this instance has
     * @param guard has the evidence of crashes that is told to peers, and receives theirs
     * @param onPeerLoadChange called after reports of peers have been applied
     */
    public static LoadGossipTransport create(
            EventLoop loop,
            Clock clock,
            LoadReport.Origin self,
            PeerTable table,
            LoadTracker loads,
            Supplier<LoadReport.StoreVersions> storeVersions,
            PromptGuard guard,
            Runnable onPeerLoadChange,
            EventSink log) {
        LoadGossip gossip = LoadGossip.create(self, table, loads::ownLoads, storeVersions, guard::evidence);
        return new LoadGossipTransport(loop, clock, table, loads, gossip, guard, onPeerLoadChange, log);
    }

    /** Binds to {@code address} and starts to send and receive reports. */
    public ChannelFuture start(HostPort address) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        receive(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        log.log(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", cause));
                    }
                })
                .bind(address.socketAddress());
        channel = bound.channel();
        return bound;
    }

    /** Schedules a report after the load of this instance changed. */
    public void loadChanged(Urgency urgency) {
        if (channel != null) {
            gossip.ownLoadChanged(urgency, clock.elapsed());
            schedule();
        }
    }

    /** Schedules evidence of a crash that this instance has observed. */
    public void crashObserved() {
        if (channel != null) {
            gossip.evidenceChanged(clock.elapsed());
            schedule();
        }
    }

    /** Sends the peers a last report that this instance is shutting down. */
    public void leave() {
        if (channel != null) {
            send(gossip.leaveDatagrams());
        }
    }

    /** Removes timed out peers and sends due reports; to be called several times a second. */
    public void tick() {
        Duration now = clock.elapsed();
        if (now.minus(lastExpiry).compareTo(EXPIRY_INTERVAL) < 0) {
            return;
        }
        lastExpiry = now;
        for (InstanceId gone : gossip.expire(now)) {
            log.log(LogEvent.PEER_GONE, Field.of("peer", gone), Field.of("peers", table.size()));
        }
        loads.expire(now);
        sendDue();
    }

    private void sendDue() {
        send(gossip.dueDatagrams(clock.elapsed()));
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
        long wait = Math.max(0, next.minus(clock.elapsed()).toNanos());
        scheduledFor = next;
        timer = loop.schedule(this::sendDue, wait, TimeUnit.NANOSECONDS);
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
        Duration now = clock.elapsed();
        LoadGossip.Reception reception = gossip.receive(ByteBufUtil.getBytes(packet.content()), from, now);
        reception
                .error()
                .ifPresent(error -> log.log(
                        LogEvent.PEER_CONNECTION_FAILED,
                        Field.of("address", from),
                        Field.of("detail", "undecodable load report: " + error)));
        if (!reception.evidence().isEmpty() && guard.merge(reception.evidence()) && gossip.passesEvidenceOn()) {
            gossip.evidenceChanged(now);
        }
        for (LoadGossip.ReceivedReport received : reception.reports()) {
            LoadReport report = received.report();
            logMembershipChange(report, received.outcome(), from);
            loads.replacePeerLoads(report.origin().instance(), report.loads(), now);
        }
        schedule();
        if (!reception.reports().isEmpty()) {
            onPeerLoadChange.run();
        }
    }

    private void logMembershipChange(LoadReport report, PeerTable.Outcome outcome, HostPort from) {
        switch (outcome) {
            case JOINED ->
                log.log(
                        LogEvent.PEER_JOINED,
                        Field.of("peer", report.origin().instance()),
                        Field.of("address", report.origin().address()),
                        Field.of("told_by", from),
                        Field.of("peers", table.size()));
            case LEFT ->
                log.log(
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
