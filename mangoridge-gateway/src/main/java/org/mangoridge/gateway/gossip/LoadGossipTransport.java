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
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.balance.LoadTracker.Urgency;
import org.mangoridge.gateway.log.EventSink;

/** Carries load reports in datagrams, as {@link LoadGossip} decides; used on one event loop. */
public final class LoadGossipTransport {

    /** How often it is looked who is present; a tenth of the time after which a silent peer counts as absent. */
    private static final Duration LOOK = Duration.ofMillis(400);

    private final EventLoop loop;
    private final Clock clock;
    private final PeerTable table;
    private final LoadTracker loads;
    private final LoadGossip gossip;
    private final Runnable onChange;
    private final EventSink log;
    private Channel channel;
    private ScheduledFuture<?> timer;
    private Duration timerDue;
    private Duration lastLook = Duration.ZERO;

    private LoadGossipTransport(
            EventLoop loop,
            Clock clock,
            PeerTable table,
            LoadTracker loads,
            LoadGossip gossip,
            Runnable onChange,
            EventSink log) {
        this.loop = loop;
        this.clock = clock;
        this.table = table;
        this.loads = loads;
        this.gossip = gossip;
        this.onChange = onChange;
        this.log = log;
    }

    /**
     * Returns an exchange that neither sends nor takes reports yet.
     *
     * @param self this run of this instance
     * @param seen gives what this instance has of the store
     * @param onChange told when the load of a peer changed
     */
    public static LoadGossipTransport create(
            EventLoop loop,
            Clock clock,
            LoadReport.Origin self,
            PeerTable table,
            LoadTracker loads,
            Supplier<LoadReport.Seen> seen,
            Runnable onChange,
            EventSink log) {
        LoadGossip gossip = LoadGossip.create(self, table, loads::ownLoads, seen);
        return new LoadGossipTransport(loop, clock, table, loads, gossip, onChange, log);
    }

    /** Starts to send and to take reports at {@code address}. */
    public ChannelFuture start(HostPort address) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        received(packet);
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

    /** Takes note that the own load may have changed. */
    public void loadChanged(Urgency urgency) {
        if (channel != null) {
            gossip.ownChanged(urgency, clock.elapsed());
            schedule();
        }
    }

    /** Tells the peers that this instance ends. */
    public void leave() {
        if (channel != null) {
            send(gossip.leave());
        }
    }

    /** Looks who is present; called several times a second. */
    public void tick() {
        Duration now = clock.elapsed();
        if (now.minus(lastLook).compareTo(LOOK) < 0) {
            return;
        }
        lastLook = now;
        for (InstanceId gone : gossip.expire(now)) {
            log.log(LogEvent.PEER_GONE, Field.of("peer", gone), Field.of("peers", table.size()));
        }
        loads.expire(now);
        sendDue();
    }

    private void sendDue() {
        send(gossip.due(clock.elapsed()));
        schedule();
    }

    private void schedule() {
        Duration next = gossip.nextDue();
        if (timer != null && !timer.isDone() && next.equals(timerDue)) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        long wait = Math.max(0, next.minus(clock.elapsed()).toNanos());
        timerDue = next;
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

    private void received(DatagramPacket packet) {
        HostPort from = new HostPort(
                packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
        Duration now = clock.elapsed();
        Result<List<LoadGossip.News>, String> read = gossip.received(ByteBufUtil.getBytes(packet.content()), from, now);
        if (!read.isOk()) {
            log.log(
                    LogEvent.PEER_CONNECTION_FAILED,
                    Field.of("address", from),
                    Field.of("detail", "unreadable report: " + read.error()));
            return;
        }
        for (LoadGossip.News news : read.value()) {
            LoadReport report = news.report();
            tell(report, news.outcome(), from);
            loads.replacePeerLoads(report.origin().instance(), report.loads(), now);
        }
        schedule();
        if (!read.value().isEmpty()) {
            onChange.run();
        }
    }

    private void tell(LoadReport report, PeerTable.Outcome outcome, HostPort from) {
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
                // Nothing but the load changes.
            }
        }
    }
}
