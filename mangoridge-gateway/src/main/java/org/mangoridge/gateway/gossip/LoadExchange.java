package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

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
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.gateway.balance.LoadBook;
import org.mangoridge.gateway.balance.LoadBook.Urgency;
import org.mangoridge.gateway.balance.LoadShare;
import org.mangoridge.gateway.log.EventSink;

/**
 * Sends this instance's load to its peers and takes theirs, in datagrams; used on one event loop.
 *
 * <p>Room that is taken at a server is told at once, lest a peer promises it to another request. Other changes are sent
 * after a rest, so that several share a datagram; the rest grows with the number of peers. Without changes a report
 * goes out every {@link #CALM_INTERVAL}.
 */
public final class LoadExchange {

    /** Reports without a change, several within the time after which a peer counts as absent. */
    public static final Duration CALM_INTERVAL = Duration.ofMillis(700);

    /** Two reports, one of them lost, must fit into the time after which a silent peer counts as absent. */
    static final Duration LONGEST_CALM_INTERVAL = Duration.ofMillis(1600);

    private static final Duration TICK = Duration.ofMillis(350);
    private static final Duration CALM_PER_PEER = Duration.ofMillis(25);
    /** Room that is taken in the same turn of the event loop shares a datagram. */
    private static final Duration URGENT_REST = Duration.ofMillis(1);

    private static final Duration SHORTEST_REST = Duration.ofMillis(100);
    /** Rest for each peer, so that a process sends and takes about 125 datagrams a second in a fleet of any size. */
    private static final Duration REST_PER_PEER = Duration.ofMillis(8);

    private final EventLoop loop;
    private final Clock clock;
    private final InstanceId self;
    private final PeerTable table;
    private final LoadBook loads;
    private final LongSupplier configVersion;
    private final Runnable onChange;
    private final EventSink log;
    private final long startedMillis;
    private Channel channel;
    private long sequence;
    private Duration lastSent = Duration.ZERO;
    private Duration nextCalm = Duration.ZERO;
    private Map<ServerId, LoadShare> lastLoads = Map.of();
    private boolean scheduled;
    private boolean urgent;

    private LoadExchange(
            EventLoop loop,
            Clock clock,
            InstanceId self,
            PeerTable table,
            LoadBook loads,
            LongSupplier configVersion,
            Runnable onChange,
            EventSink log) {
        this.loop = loop;
        this.clock = clock;
        this.self = self;
        this.table = table;
        this.loads = loads;
        this.configVersion = configVersion;
        this.onChange = onChange;
        this.log = log;
        this.startedMillis = clock.now().toEpochMilli();
    }

    /**
     * Returns an exchange that neither sends nor takes reports yet.
     *
     * @param configVersion gives the version of the configuration, -1 if there is none
     * @param onChange told when the load of a peer changed
     */
    public static LoadExchange create(
            EventLoop loop,
            Clock clock,
            InstanceId self,
            PeerTable table,
            LoadBook loads,
            LongSupplier configVersion,
            Runnable onChange,
            EventSink log) {
        return new LoadExchange(loop, clock, self, table, loads, configVersion, onChange, log);
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
        loop.scheduleWithFixedDelay(this::tick, 0, TICK.toMillis(), TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Takes note that the own load may have changed. */
    public void loadChanged(Urgency urgency) {
        if (channel == null || urgency == Urgency.WITH_THE_NEXT) {
            return;
        }
        if (urgency == Urgency.AT_ONCE && !urgent) {
            urgent = true;
            loop.schedule(this::sendChange, URGENT_REST.toMillis(), TimeUnit.MILLISECONDS);
        } else if (!scheduled && !urgent) {
            scheduled = true;
            Duration rest = REST_PER_PEER.multipliedBy(table.size());
            rest = rest.compareTo(SHORTEST_REST) < 0 ? SHORTEST_REST : rest;
            Duration wait = rest.minus(clock.elapsed().minus(lastSent));
            loop.schedule(this::sendChange, Math.max(0, wait.toMillis()), TimeUnit.MILLISECONDS);
        }
    }

    /** Tells the peers that this instance ends. */
    public void leave() {
        if (channel != null) {
            send(table.present(), report(Map.of(), List.of(), true));
        }
    }

    private void sendChange() {
        scheduled = false;
        urgent = false;
        if (!loads.ownLoads().equals(lastLoads)) {
            sendToPresent();
        }
    }

    private void tick() {
        Duration now = clock.elapsed();
        for (InstanceId gone : table.expire(now)) {
            log.log(LogEvent.PEER_GONE, Field.of("peer", gone), Field.of("peers", table.size()));
        }
        loads.expire(now);
        if (now.compareTo(nextCalm) >= 0) {
            nextCalm = now.plus(calmInterval());
            lastSent = now;
            lastLoads = loads.ownLoads();
            LoadReport report = report(lastLoads, table.some(), false);
            send(table.present(), report);
            send(table.absent(), report);
        }
    }

    /** Calm reports cost the square of the fleet; in a large one they are rarer, well within what peers allow. */
    private Duration calmInterval() {
        Duration scaled = CALM_PER_PEER.multipliedBy(table.size());
        if (scaled.compareTo(LONGEST_CALM_INTERVAL) > 0) {
            return LONGEST_CALM_INTERVAL;
        }
        return scaled.compareTo(CALM_INTERVAL) < 0 ? CALM_INTERVAL : scaled;
    }

    private void sendToPresent() {
        lastSent = clock.elapsed();
        lastLoads = loads.ownLoads();
        LoadReport report = report(lastLoads, List.of(), false);
        send(table.present(), report);
    }

    private LoadReport report(Map<ServerId, LoadShare> own, List<HostPort> told, boolean leaving) {
        return new LoadReport(self, startedMillis, ++sequence, own, told, configVersion.getAsLong(), leaving);
    }

    private void send(Collection<HostPort> addresses, LoadReport report) {
        byte[] bytes = LoadCodec.encode(report);
        for (HostPort address : addresses) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address.socketAddress()));
        }
        channel.flush();
    }

    private void received(DatagramPacket packet) {
        Result<LoadReport, String> read = LoadCodec.decode(ByteBufUtil.getBytes(packet.content()));
        if (!read.isOk()) {
            log.log(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", "unreadable report: " + read.error()));
            return;
        }
        LoadReport report = read.value();
        if (report.sender().equals(self)) {
            return;
        }
        HostPort from = new HostPort(
                packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
        Duration now = clock.elapsed();
        switch (table.received(report, from, now)) {
            case STALE -> {
                return;
            }
            case JOINED ->
                log.log(
                        LogEvent.PEER_JOINED,
                        Field.of("peer", report.sender()),
                        Field.of("address", from),
                        Field.of("peers", table.size()));
            case LEFT ->
                log.log(
                        LogEvent.PEER_GONE,
                        Field.of("peer", report.sender()),
                        Field.of("cause", "leaving"),
                        Field.of("peers", table.size()));
            default -> {
                // Nothing but the load changes.
            }
        }
        loads.peerReported(report.sender(), report.loads(), now);
        onChange.run();
    }
}
