package org.mangoridge.engine.plain;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.mangoridge.core.net.HostPort;

/** Reads requests from bare sockets and does to each connection what a test wants. */
final class RawServer implements AutoCloseable {

    /** What is done when a whole request has come. */
    @FunctionalInterface
    interface OnRequest {
        void answer(Socket connection) throws IOException;
    }

    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();

    private RawServer(ServerSocket listener) {
        this.listener = listener;
    }

    static RawServer start(OnRequest onRequest) throws IOException {
        RawServer server = new RawServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        Thread.ofVirtual().start(() -> server.accept(onRequest));
        return server;
    }

    HostPort address() {
        return HostPort.parse("127.0.0.1:" + listener.getLocalPort());
    }

    /** Returns how many whole requests have come. */
    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
    }

    private void accept(OnRequest onRequest) {
        try {
            while (true) {
                Socket connection = listener.accept();
                Thread.ofVirtual().start(() -> serve(connection, onRequest));
            }
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private void serve(Socket connection, OnRequest onRequest) {
        try (connection) {
            while (readRequest(connection.getInputStream())) {
                requests.incrementAndGet();
                onRequest.answer(connection);
            }
        } catch (IOException e) {
            // the connection was closed, which ends the work on it
        }
    }

    /** Reads a request whose body is {@code body}. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\nbody") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            text.append((char) next);
        }
        return true;
    }
}
