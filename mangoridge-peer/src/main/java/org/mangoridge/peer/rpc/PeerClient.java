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
 * Calls other instances over kept connections, one to each.
 *
 * <p>Calls block for a bounded time and are made on virtual threads. Every call is idempotent: one that fails on a kept
 * connection is made once more on a new one, since the kept one may have gone silent while new ones work. Safe for use
 * by several threads.
 */
public final class PeerClient implements AutoCloseable {

    private static final double AGE_JITTER = 0.2;

    /** A kept connection, used by one thread at a time. */
    private record Connection(Socket socket, TFramedTransport transport, Peer.Client client, Duration retireAt)
            implements AutoCloseable {

        @Override
        public void close() {
            transport.close();
        }
    }

    /** A call on an open connection. */
    private interface Call<T> {
        T on(Peer.Client client) throws TException;
    }

    private final PeerSockets sockets;
    private final PeerLimits limits;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostPort, Connection> idle = new HashMap<>();
    private boolean closed;

    private PeerClient(PeerSockets sockets, PeerLimits limits, Clock clock, RandomGenerator random) {
        this.sockets = sockets;
        this.limits = limits;
        this.clock = clock;
        this.random = random;
    }

    /** Returns a client that connects over {@code sockets}; {@code random} must be safe for several threads. */
    public static PeerClient create(PeerSockets sockets, PeerLimits limits, Clock clock, RandomGenerator random) {
        return new PeerClient(sockets, limits, clock, random);
    }

    /** Exchanges a round of gossip with the instance at {@code address}; waits at most {@code timeout} for it. */
    public Result<GossipMessage, PeerFailure> exchange(HostPort address, GossipMessage message, Duration timeout) {
        return call(address, timeout, client -> PeerCodec.decode(client.exchange(PeerCodec.encode(message))));
    }

    /** Asks the instance at {@code address} for its configuration if it is newer than {@code known}. */
    public Result<PeerConfig, PeerFailure> config(HostPort address, Generation known, Duration timeout) {
        return call(address, timeout, client -> decode(client.config(known.value())));
    }

    @Override
    public void close() {
        synchronized (idle) {
            closed = true;
            idle.values().forEach(Connection::close);
            idle.clear();
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
        Optional<Connection> kept = takeIdle(address);
        if (kept.isPresent()) {
            Result<T, PeerFailure> result = callOn(address, kept.get(), deadline, call);
            if (result.isOk()) {
                return result;
            }
        }
        Duration left = deadline.minus(clock.elapsed());
        Duration least = limits.connectTimeout().dividedBy(2);
        try {
            Connection connection = connect(address, left.compareTo(least) > 0 ? left : least);
            return callOn(address, connection, clock.elapsed().plus(least.compareTo(left) > 0 ? least : left), call);
        } catch (ConnectException e) {
            return Result.err(new PeerFailure(true, String.valueOf(e.getMessage())));
        } catch (IOException | TException e) {
            return Result.err(new PeerFailure(false, String.valueOf(e.getMessage())));
        }
    }

    private <T> Result<T, PeerFailure> callOn(
            HostPort address, Connection connection, Duration deadline, Call<T> call) {
        boolean kept = false;
        try {
            long millis = Math.max(1, deadline.minus(clock.elapsed()).toMillis());
            connection.socket().setSoTimeout((int) millis);
            T value = call.on(connection.client());
            kept = true;
            return Result.ok(value);
        } catch (IOException | TException | IllegalArgumentException e) {
            return Result.err(new PeerFailure(false, String.valueOf(e.getMessage())));
        } finally {
            if (kept) {
                giveBack(address, connection);
            } else {
                connection.close();
            }
        }
    }

    private Connection connect(HostPort address, Duration timeout) throws IOException, TException {
        Duration wait = timeout.compareTo(limits.connectTimeout()) < 0 ? timeout : limits.connectTimeout();
        Socket socket = sockets.connect(address, wait);
        try {
            socket.setTcpNoDelay(true);
            TFramedTransport transport = PeerServer.transport(socket, limits);
            double jitter = 1 + AGE_JITTER * (2 * random.nextDouble() - 1);
            Duration age = Duration.ofNanos((long) (limits.maxConnectionAge().toNanos() * jitter));
            Peer.Client client = new Peer.Client(new TCompactProtocol(transport));
            return new Connection(socket, transport, client, clock.elapsed().plus(age));
        } catch (IOException | TException e) {
            socket.close();
            throw e;
        }
    }

    private Optional<Connection> takeIdle(HostPort address) {
        synchronized (idle) {
            retire();
            return Optional.ofNullable(idle.remove(address));
        }
    }

    private void giveBack(HostPort address, Connection connection) {
        Connection other;
        synchronized (idle) {
            other = closed ? connection : idle.put(address, connection);
        }
        if (other != null) {
            other.close();
        }
    }

    /** Closes connections past their age, so that none is trusted for ever and members that went leave none. */
    private void retire() {
        Duration now = clock.elapsed();
        Iterator<Connection> connections = idle.values().iterator();
        while (connections.hasNext()) {
            Connection connection = connections.next();
            if (now.compareTo(connection.retireAt()) >= 0) {
                connection.close();
                connections.remove();
            }
        }
    }
}
