package org.mangoridge.peer.rpc;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.peer.membership.GossipMessage;
import org.mangoridge.peer.thrift.ConfigReply;
import org.mangoridge.peer.thrift.Peer;

/**
 * Client for calls to other instances; keeps one idle connection to each for reuse.
 *
 * <p>Calls block for a bounded time and are made on virtual threads. Every call is idempotent: if it fails on a reused
 * connection, it is retried once on a new one, since a reused connection may be dead while new ones work. Safe for use
 * by several threads.
 */
public final class PeerClient implements AutoCloseable {

    private static final double MAX_AGE_JITTER = 0.2;

    /** A connection, used by one thread at a time. */
    private record Connection(Socket socket, TFramedTransport transport, Peer.Client client, Duration expiresAt)
            implements AutoCloseable {

        @Override
        public void close() {
            transport.close();
        }
    }

    /** A call over an open connection. */
    private interface Call<T> {
        T execute(Peer.Client client) throws TException;
    }

    private final PeerSockets sockets;
    private final PeerLimits limits;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostPort, Connection> idleConnections = new HashMap<>();
    private boolean closed;

    private PeerClient(PeerSockets sockets, PeerLimits limits, Clock clock, RandomGenerator random) {
        this.sockets = sockets;
        this.limits = limits;
        this.clock = clock;
        this.random = random;
    }

    /** Returns a client that connects with {@code sockets}; {@code random} must be safe for use by several threads. */
    public static PeerClient create(PeerSockets sockets, PeerLimits limits, Clock clock, RandomGenerator random) {
        return new PeerClient(sockets, limits, clock, random);
    }

    /** Exchanges gossip with the instance at {@code address}; waits at most {@code timeout} for the answer. */
    public Result<GossipMessage, PeerFailure> exchange(HostPort address, GossipMessage message, Duration timeout) {
        return call(address, timeout, client -> PeerCodec.decode(client.exchange(PeerCodec.encode(message))));
    }

    /** Requests the configuration of the instance at {@code address} if it is newer than {@code known}. */
    public Result<PeerConfig, PeerFailure> config(HostPort address, Generation known, Duration timeout) {
        return call(address, timeout, client -> decode(client.config(known.value())));
    }

    @Override
    public void close() {
        synchronized (idleConnections) {
            closed = true;
            idleConnections.values().forEach(Connection::close);
            idleConnections.clear();
        }
    }

    private static PeerConfig decode(ConfigReply reply) {
        Generation generation = Generation.of(reply.getGeneration());
        return reply.isSetText()
                ? new PeerConfig(generation, Optional.of(new PeerConfig.Content(reply.getHash(), reply.getText())))
                : PeerConfig.nothingNewer(generation);
    }

    private <T> Result<T, PeerFailure> call(HostPort address, Duration timeout, Call<T> call) {
        Duration deadline = clock.elapsed().plus(timeout);
        Optional<Connection> reused = takeIdle(address);
        if (reused.isPresent()) {
            Result<T, PeerFailure> result = callOn(address, reused.get(), deadline, call);
            if (result.isOk()) {
                return result;
            }
        }
        Duration remaining = deadline.minus(clock.elapsed());
        Duration minTimeout = limits.connectTimeout().dividedBy(2);
        try {
            Connection connection = connect(address, remaining.compareTo(minTimeout) > 0 ? remaining : minTimeout);
            return callOn(
                    address,
                    connection,
                    clock.elapsed().plus(minTimeout.compareTo(remaining) > 0 ? minTimeout : remaining),
                    call);
        } catch (ConnectException e) {
            return Result.err(new PeerFailure(true, String.valueOf(e.getMessage())));
        } catch (IOException | TException e) {
            return Result.err(new PeerFailure(false, String.valueOf(e.getMessage())));
        }
    }

    private <T> Result<T, PeerFailure> callOn(
            HostPort address, Connection connection, Duration deadline, Call<T> call) {
        boolean reusable = false;
        try {
            long millis = Math.max(1, deadline.minus(clock.elapsed()).toMillis());
            connection.socket().setSoTimeout((int) millis);
            T value = call.execute(connection.client());
            reusable = true;
            return Result.ok(value);
        } catch (IOException | TException | IllegalArgumentException e) {
            return Result.err(new PeerFailure(false, String.valueOf(e.getMessage())));
        } finally {
            if (reusable) {
                returnIdle(address, connection);
            } else {
                connection.close();
            }
        }
    }

    private Connection connect(HostPort address, Duration timeout) throws IOException, TException {
        Duration connectTimeout = timeout.compareTo(limits.connectTimeout()) < 0 ? timeout : limits.connectTimeout();
        Socket socket = sockets.connect(address, connectTimeout);
        try {
            socket.setTcpNoDelay(true);
            TFramedTransport transport = PeerServer.transport(socket, limits);
            double jitter = 1 + MAX_AGE_JITTER * (2 * random.nextDouble() - 1);
            Duration lifetime =
                    Duration.ofNanos((long) (limits.maxConnectionAge().toNanos() * jitter));
            Peer.Client client = new Peer.Client(new TCompactProtocol(transport));
            return new Connection(socket, transport, client, clock.elapsed().plus(lifetime));
        } catch (IOException | TException e) {
            socket.close();
            throw e;
        }
    }

    private Optional<Connection> takeIdle(HostPort address) {
        synchronized (idleConnections) {
            closeExpired();
            return Optional.ofNullable(idleConnections.remove(address));
        }
    }

    private void returnIdle(HostPort address, Connection connection) {
        Connection surplus;
        synchronized (idleConnections) {
            surplus = closed ? connection : idleConnections.put(address, connection);
        }
        if (surplus != null) {
            surplus.close();
        }
    }

    /** Closes expired connections, so that none is reused indefinitely or kept to a member that is gone. */
    private void closeExpired() {
        Duration now = clock.elapsed();
        Iterator<Connection> connections = idleConnections.values().iterator();
        while (connections.hasNext()) {
            Connection connection = connections.next();
            if (now.compareTo(connection.expiresAt()) >= 0) {
                connection.close();
                connections.remove();
            }
        }
    }
}
