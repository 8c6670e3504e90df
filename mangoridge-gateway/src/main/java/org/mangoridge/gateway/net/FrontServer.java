package org.mangoridge.gateway.net;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;

/** The HTTP server for callers; confined to one event loop. */
public final class FrontServer {

    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final int ACCEPT_BACKLOG = 512;
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final EventLoop loop;
    private final Clock clock;
    private final FrontState state;
    private final RequestHandler handler;
    private final BodyMemory memory;
    private final BufferMemory buffers;
    private final int maxConnections;
    private final Set<FrontConnection> connections = new HashSet<>();
    private Channel listening;
    private Duration lastCheck = Duration.ZERO;

    private FrontServer(
            EventLoop loop,
            Clock clock,
            FrontState state,
            RequestHandler handler,
            BodyMemory memory,
            BufferMemory buffers,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.state = state;
        this.handler = handler;
        this.memory = memory;
        this.buffers = buffers;
        this.maxConnections = maxConnections;
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param memory bounds the bodies of requests
     * @param buffers bounds what else callers fill, for example responses that they don't read
     * @param maxConnections connections beyond this number are closed at once
     */
    public static FrontServer create(
            EventLoop loop,
            Clock clock,
            FrontState state,
            RequestHandler handler,
            BodyMemory memory,
            BufferMemory buffers,
            int maxConnections) {
        return new FrontServer(loop, clock, state, handler, memory, buffers, maxConnections);
    }

    /** Binds to {@code address} and accepts connections. */
    public ChannelFuture listen(HostPort address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.oneReadPerTurn())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address.socketAddress());
        listening = bound.channel();
        return bound;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((java.net.InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Sets up a connection of a caller. */
    void accept(Channel channel) {
        if (connections.size() >= maxConnections) {
            channel.close();
            return;
        }
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(state.limits().maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        StrictRequestDecoder decoder = new StrictRequestDecoder(config);
        FrontConnection connection = new FrontConnection(clock, state, handler, memory, buffers, decoder);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        connection.bytesArrived();
                        context.fireChannelRead(message);
                    }
                })
                .addLast(decoder, new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Closes connections whose timeout has expired; checks at most every {@link #TIMEOUT_CHECK_INTERVAL}. */
    public void closeTimedOut() {
        Duration now = clock.elapsed();
        if (now.minus(lastCheck).compareTo(TIMEOUT_CHECK_INTERVAL) < 0) {
            return;
        }
        lastCheck = now;
        // Iterates over a copy, since a connection that closes is removed from the set at once.
        Set.copyOf(connections).forEach(FrontConnection::closeIfTimedOut);
    }

    /** Closes the connections that have had no request for {@code idleTime}. */
    public void closeIdle(Duration idleTime) {
        Set.copyOf(connections).forEach(connection -> connection.closeIfIdle(idleTime));
    }

    /** Returns the number of requests in progress. */
    public long requestsInProgress() {
        return connections.stream()
                .filter(FrontConnection::hasRequestInProgress)
                .count();
    }

    /** Returns the number of requests in progress whose responses have not begun. */
    public long unansweredRequests() {
        return connections.stream()
                .filter(FrontConnection::hasUnansweredRequest)
                .count();
    }

    /** Returns the number of responses that are in progress or were not sent entirely. */
    public long unsentResponses() {
        return connections.stream().filter(FrontConnection::hasUnsentResponse).count();
    }

    /** Returns the number of requests that have been read in part. */
    public long requestsBeingRead() {
        return connections.stream().filter(FrontConnection::isReadingRequest).count();
    }

    /**
     * Answers the requests whose responses have not begun, and those that are being read, because the instance is about to
     * stop.
     */
    public void endUnansweredRequests() {
        Set.copyOf(connections).forEach(FrontConnection::endUnansweredRequest);
    }

    /** Answers the requests in progress, or cuts their responses if they have begun, because the instance stops. */
    public void endRequests() {
        Set.copyOf(connections).forEach(FrontConnection::endRequest);
    }

    /** Returns the number of connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Stops listening; established connections stay open. */
    public void stopListening() {
        listening.close();
    }
}
