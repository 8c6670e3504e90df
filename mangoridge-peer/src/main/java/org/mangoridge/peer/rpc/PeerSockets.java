package org.mangoridge.peer.rpc;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;

import org.mangoridge.core.net.HostPort;

/** Opens the sockets of connections between instances; safe for use by several threads. */
public interface PeerSockets {

    /** Listens at {@code host} and {@code port}. */
    ServerSocket listen(InetAddress host, int port, int backlog) throws IOException;

    /** Connects to {@code address} within {@code timeout}. */
    Socket connect(HostPort address, Duration timeout) throws IOException;

    /** Returns an implementation without encryption. */
    static PeerSockets plaintext() {
        return new PeerSockets() {
            @Override
            public ServerSocket listen(InetAddress host, int port, int backlog) throws IOException {
                return new ServerSocket(port, backlog, host);
            }

            @Override
            public Socket connect(HostPort address, Duration timeout) throws IOException {
                Socket socket = new Socket();
                try {
                    socket.connect(new InetSocketAddress(address.host(), address.port()), (int) timeout.toMillis());
                    return socket;
                } catch (IOException e) {
                    socket.close();
                    throw e;
                }
            }
        };
    }
}
