package org.mangoridge.peer.rpc;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.peer.thrift.ConfigReply;
import org.mangoridge.peer.thrift.CreditGrant;
import org.mangoridge.peer.thrift.CreditRequest;
import org.mangoridge.peer.thrift.Gossip;
import org.mangoridge.peer.thrift.Peer;

/** Thrift server that answers other instances; serves each connection on a virtual thread. */
public final class PeerServer implements AutoCloseable {

    private static final int BACKLOG = 256;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private final ServerSocket listener;
    private final Peer.Processor<Peer.Iface> processor;
    private final PeerLimits limits;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final HostPort address;
    private final Thread acceptor;

    private PeerServer(ServerSocket listener, HostPort address, PeerHandler handler, PeerLimits limits) {
        this.listener = listener;
        this.address = address;
        this.limits = limits;
        this.acceptor = Thread.ofVirtual().name("peer-acceptor").unstarted(this::acceptConnections);
        this.processor = new Peer.Processor<>(new ThriftAdapter(handler));
    }

    /**
     * Starts to listen on {@code bind}.
     *
     * @throws IllegalStateException if it can't listen on the address
     */
    public static PeerServer start(HostPort bind, PeerSockets sockets, PeerLimits limits, PeerHandler handler) {
        try {
            InetAddress host = bind.socketAddress().getAddress();
            ServerSocket listener = sockets.listen(host, bind.port(), BACKLOG);
            PeerServer server = new PeerServer(listener, bind.withPort(listener.getLocalPort()), handler, limits);
            server.acceptor.start();
            return server;
        } catch (IOException e) {
            throw new IllegalStateException("can't listen on " + bind + ": " + e.getMessage(), e);
        }
    }

    /** Returns the address listened on; if port 0 was requested, it has the port that the system chose. */
    public HostPort address() {
        return address;
    }

    /** Stops listening and closes every connection; the address is no longer in use on return. */
    @Override
    public void close() {
        closeQuietly(listener);
        openSockets.forEach(PeerServer::closeQuietly);
        executor.shutdownNow();
        try {
            acceptor.join(CLOSE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                serveOrClose(listener.accept());
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    EventLog.write(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", e.getMessage()));
                }
            }
        }
    }

    /** Serves a connection, or closes it if the limit is reached or the server is closing. */
    private void serveOrClose(Socket socket) throws IOException {
        if (openSockets.size() >= limits.maxConnections()) {
            socket.close();
            return;
        }
        openSockets.add(socket);
        try {
            executor.execute(() -> serve(socket));
        } catch (RejectedExecutionException e) {
            openSockets.remove(socket);
            socket.close();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) limits.idleTimeout().toMillis());
            TProtocol protocol = new TCompactProtocol(transport(socket, limits));
            while (!socket.isClosed()) {
                processor.process(protocol, protocol);
            }
        } catch (TTransportException e) {
            // the peer closed the connection, was idle too long or sent too large a frame; each ends the connection
        } catch (IOException | TException e) {
            EventLog.write(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", e.getMessage()));
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "peer server"));
        } finally {
            openSockets.remove(socket);
        }
    }

    static TFramedTransport transport(Socket socket, PeerLimits limits) throws IOException, TTransportException {
        TConfiguration configuration = new TConfiguration(
                limits.maxFrameBytes(), limits.maxFrameBytes(), TConfiguration.DEFAULT_RECURSION_DEPTH);
        TIOStreamTransport stream = new TIOStreamTransport(
                configuration,
                new BufferedInputStream(socket.getInputStream()),
                new BufferedOutputStream(socket.getOutputStream()));
        return new TFramedTransport(stream, limits.maxFrameBytes());
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            EventLog.write(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", e.getMessage()));
        }
    }

    /** Passes Thrift calls on to the handler. */
    private record ThriftAdapter(PeerHandler handler) implements Peer.Iface {

        @Override
        public Gossip exchange(Gossip gossip) {
            try {
                return PeerCodec.encode(handler.exchange(PeerCodec.decode(gossip)));
            } catch (IllegalArgumentException | IllegalStateException e) {
                EventLog.write(LogEvent.PEER_CONNECTION_FAILED, Field.of("detail", e.getMessage()));
                return null; // the peer gets an error; the library would log an exception without a rate limit
            }
        }

        @Override
        public CreditGrant credits(CreditRequest request) {
            return new CreditGrant(false, 0, 0);
        }

        @Override
        public ConfigReply config(long knownGeneration) {
            PeerConfig config = handler.config(Generation.of(knownGeneration));
            ConfigReply reply = new ConfigReply(config.generation().value());
            config.content().ifPresent(content -> reply.setHash(content.hash()).setText(content.text()));
            return reply;
        }
    }
}
