package org.mangoridge.gateway.net;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import jdk.net.ExtendedSocketOptions;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.AttemptProgress;

/** Calls servers over connections that are kept between calls; used on one event loop. */
public final class UpstreamPool {

    /** How long a connection is kept if the server says nothing; below the usual idle timeouts of servers. */
    private static final Duration DEFAULT_KEEP = Duration.ofSeconds(4);
    /** How long before the server's own timeout a connection is no longer used. */
    private static final Duration KEEP_MARGIN = Duration.ofMillis(700);
    /** Rest after a call, in which bytes that belong to no request show themselves. */
    private static final Duration SETTLE = Duration.ofMillis(3);

    /** Seconds between probes of a connection on which nothing comes; a watch of the store waits for many seconds. */
    private static final int PROBE_SECONDS = 1;
    /** Probes without an answer after which a connection that fell silent is closed. */
    private static final int PROBES = 2;

    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final Map<HostPort, Deque<UpstreamConnection>> idle = new HashMap<>();
    private long opened;

    private UpstreamPool(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Returns a pool without connections. */
    public static UpstreamPool create(EventLoop loop, Clock clock) {
        return new UpstreamPool(loop, clock);
    }

    /** Sends a request; the listener hears of the answer unless the call is cancelled. */
    public UpstreamCall call(UpstreamRequest request, CallListener listener) {
        UpstreamCall call = new UpstreamCall(listener);
        Optional<UpstreamConnection> kept = takeIdle(request);
        if (kept.isPresent()) {
            call.bind(kept.get());
            kept.get().send(request, listener);
        } else {
            connect(request, call);
        }
        return call;
    }

    /** Returns how many connections were opened so far. */
    public long opened() {
        return opened;
    }

    /** Closes kept connections that are too old to be used again. */
    public void sweep() {
        Duration now = clock.elapsed();
        for (Deque<UpstreamConnection> connections : idle.values()) {
            for (UpstreamConnection connection : connections.toArray(UpstreamConnection[]::new)) {
                if (!connection.isOpen() || isOld(connection, now)) {
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Closes the kept connections to an address, such as of a server that is gone. */
    public void evict(HostPort address) {
        Deque<UpstreamConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(UpstreamConnection::close);
        }
    }

    /** Closes all kept connections, such as after the process stood still. */
    public void evictAll() {
        for (HostPort address : idle.keySet().toArray(HostPort[]::new)) {
            evict(address);
        }
    }

    void idle(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections =
                idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.close();
        } else {
            connections.addLast(connection);
        }
    }

    void closed(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    private Optional<UpstreamConnection> takeIdle(UpstreamRequest request) {
        Deque<UpstreamConnection> connections = idle.get(request.address());
        if (connections == null) {
            return Optional.empty();
        }
        Duration now = clock.elapsed();
        Iterator<UpstreamConnection> iterator = connections.descendingIterator();
        while (iterator.hasNext()) {
            UpstreamConnection connection = iterator.next();
            Duration unused = now.minus(connection.idleSince());
            if (unused.compareTo(SETTLE) < 0 || !connection.isOpen() || isOld(connection, now)) {
                continue;
            }
            if (unused.compareTo(request.freshness()) > 0) {
                break;
            }
            iterator.remove();
            return Optional.of(connection);
        }
        return Optional.empty();
    }

    private static boolean isOld(UpstreamConnection connection, Duration now) {
        Duration keep = DEFAULT_KEEP;
        if (connection.keepAlive() != null) {
            keep = connection.keepAlive().minus(KEEP_MARGIN);
        }
        return now.minus(connection.idleSince()).compareTo(keep) > 0;
    }

    private void connect(UpstreamRequest request, UpstreamCall call) {
        UpstreamConnection connection = new UpstreamConnection(request.address(), clock, this);
        request.body().retain();
        opened++;
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        request.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxHeaderSize(MAX_HEAD_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES);
                        channel.pipeline().addLast(new HttpClientCodec(config, false, false), connection);
                    }
                })
                .connect(request.address().socketAddress());
        call.connecting(future);
        future.addListener(done -> {
            try {
                established(request, call, connection, future);
            } finally {
                request.body().release();
            }
        });
    }

    private static void established(
            UpstreamRequest request, UpstreamCall call, UpstreamConnection connection, ChannelFuture future) {
        if (!future.isSuccess()) {
            if (!call.isCancelled()) {
                boolean silent = future.cause() instanceof io.netty.channel.ConnectTimeoutException;
                call.listener()
                        .failed(new CallFailure(
                                AttemptProgress.BEFORE_CONNECT, silent, "no connection: " + future.cause()));
            }
            return;
        }
        connection.opened(future.channel());
        if (call.isCancelled()) {
            connection.close();
            return;
        }
        call.bind(connection);
        connection.send(request, call.listener());
    }
}
