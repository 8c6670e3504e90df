package org.mangoridge.gateway.net;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import jdk.net.ExtendedSocketOptions;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.AttemptProgress;

/** Calls servers over pooled keep-alive connections; confined to one event loop. */
public final class UpstreamPool {

    /** Idle timeout if the server announces none; below the usual idle timeouts of servers. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);
    /** Time before the idle timeout of the server from which a connection is no longer reused. */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);
    /** Idle time before reuse, in which surplus bytes of the last response arrive and close the connection. */
    private static final Duration MIN_IDLE_BEFORE_REUSE = Duration.ofMillis(3);

    /** TCP keep-alive idle time and interval; detects a dead peer while a watch of the store waits for many seconds. */
    private static final int TCP_PROBE_INTERVAL_SECONDS = 1;
    /** Unanswered TCP keep-alive probes after which a connection is closed. */
    private static final int TCP_PROBES = 2;

    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final Map<HostPort, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Function<HttpResponse, Optional<RequestId>> answeredRequest;
    private final AnswerCounters counters;
    private final BufferMemory buffers;
    private long opened;

    private UpstreamPool(
            EventLoop loop,
            Clock clock,
            Function<HttpResponse, Optional<RequestId>> answeredRequest,
            AnswerCounters counters,
            BufferMemory buffers) {
        this.loop = loop;
        this.clock = clock;
        this.answeredRequest = answeredRequest;
        this.counters = counters;
        this.buffers = buffers;
    }

    /**
     * Returns a pool without connections.
     *
     * @param answeredRequest reads the id of the request that an answer belongs to; empty if it names none
     * @param registry counts the answers and bytes that belong to no call in progress
     * @param buffers bounds the heads that servers send
     */
    public static UpstreamPool create(
            EventLoop loop,
            Clock clock,
            Function<HttpResponse, Optional<RequestId>> answeredRequest,
            MetricRegistry registry,
            BufferMemory buffers) {
        return new UpstreamPool(loop, clock, answeredRequest, AnswerCounters.of(registry), buffers);
    }

    /** Sends a request; {@code listener} receives the events of the call unless it is cancelled. */
    public UpstreamCall call(UpstreamRequest request, CallListener listener) {
        UpstreamCall call = new UpstreamCall(listener);
        Optional<UpstreamConnection> pooled = takeIdle(request);
        if (pooled.isPresent()) {
            call.bind(pooled.get());
            pooled.get().send(request, listener);
        } else {
            connect(request, call);
        }
        return call;
    }

    /** Whether a server accepts connections. */
    public enum Listening {
        /** The server accepted a connection. */
        YES,
        /** The machine of the server answered that nothing listens at the address. */
        NO,
        /** There was no answer in time. */
        UNKNOWN
    }

    /** Finds out whether a server accepts connections by opening one, which is closed at once. */
    public void checkListening(HostPort address, Duration timeout, Consumer<Listening> result) {
        opened++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address.socketAddress())
                .addListener((ChannelFutureListener) done -> {
                    done.channel().close();
                    if (done.isSuccess()) {
                        result.accept(Listening.YES);
                    } else {
                        boolean timedOut = done.cause() instanceof io.netty.channel.ConnectTimeoutException;
                        boolean refused = done.cause() instanceof ConnectException && !timedOut;
                        result.accept(refused ? Listening.NO : Listening.UNKNOWN);
                    }
                });
    }

    /** Returns the number of connections opened since the pool was created. */
    public long opened() {
        return opened;
    }

    /** Closes idle connections that have expired or were closed by the server. */
    public void sweep() {
        Duration now = clock.elapsed();
        for (Deque<UpstreamConnection> connections : idle.values()) {
            for (UpstreamConnection connection : connections.toArray(UpstreamConnection[]::new)) {
                if (!connection.isOpen() || isExpired(connection, now)) {
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Closes the idle connections to an address, for example of a server that was removed. */
    public void evict(HostPort address) {
        Deque<UpstreamConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(UpstreamConnection::close);
        }
    }

    /** Closes all idle connections, for example after the process was paused. */
    public void evictAll() {
        for (HostPort address : idle.keySet().toArray(HostPort[]::new)) {
            evict(address);
        }
    }

    void addIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections =
                idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.close();
        } else {
            connections.addLast(connection);
        }
    }

    void removeIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Returns the id of the request that an answer belongs to; empty if it names none. */
    Optional<RequestId> answeredRequest(HttpResponse head) {
        return answeredRequest.apply(head);
    }

    AnswerCounters counters() {
        return counters;
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
            Duration idleTime = now.minus(connection.idleSince());
            if (idleTime.compareTo(MIN_IDLE_BEFORE_REUSE) < 0 || !connection.isOpen() || isExpired(connection, now)) {
                continue;
            }
            if (idleTime.compareTo(request.maxIdle()) > 0) {
                break;
            }
            if (request.id().filter(connection::hasCarried).isPresent()) {
                continue;
            }
            iterator.remove();
            if (connection.isUsableAfterRead()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private static boolean isExpired(UpstreamConnection connection, Duration now) {
        Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;
        if (connection.announcedIdleTimeout() != null) {
            idleTimeout = connection.announcedIdleTimeout().minus(IDLE_TIMEOUT_MARGIN);
        }
        return now.minus(connection.idleSince()).compareTo(idleTimeout) > 0;
    }

    private void connect(UpstreamRequest request, UpstreamCall call) {
        ResponseDecoder decoder = new ResponseDecoder(
                new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
        UpstreamConnection connection = new UpstreamConnection(request.address(), clock, this, decoder, buffers);
        request.body().retain();
        opened++;
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.oneReadPerTurn())
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_PROBE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_PROBE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        request.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(request.address().socketAddress());
        call.connecting(future);
        future.addListener(done -> {
            try {
                connectCompleted(request, call, connection, future);
            } finally {
                request.body().release();
            }
        });
    }

    private static void connectCompleted(
            UpstreamRequest request, UpstreamCall call, UpstreamConnection connection, ChannelFuture future) {
        if (!future.isSuccess()) {
            if (!call.isCancelled()) {
                boolean timedOut = future.cause() instanceof io.netty.channel.ConnectTimeoutException;
                call.listener()
                        .failed(new CallFailure(
                                AttemptProgress.BEFORE_CONNECT,
                                timedOut,
                                "connection could not be established: " + future.cause()));
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
