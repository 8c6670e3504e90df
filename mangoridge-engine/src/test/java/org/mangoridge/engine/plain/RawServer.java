package org.mangoridge.engine.plain;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.mangoridge.core.net.HostPort;

/** A server on plain sockets that lets a test answer each request or break its connection. */
final class RawServer implements AutoCloseable {

    /** Handles the connection of a request after the complete request was read. */
    @FunctionalInterface
    interface RequestHandler {
        void handle(Socket connection) throws IOException;
    }

    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();

    private RawServer(ServerSocket listener) {
        this.listener = listener;
    }

    static RawServer start(RequestHandler handler) throws IOException {
        RawServer server = new RawServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        Thread.ofVirtual().start(() -> server.accept(handler));
        return server;
    }

    HostPort address() {
        return HostPort.parse("127.0.0.1:" + listener.getLocalPort());
    }

    /** Returns the number of complete requests read. */
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

    private void accept(RequestHandler handler) {
        try {
            while (true) {
                Socket connection = listener.accept();
                Thread.ofVirtual().start(() -> serve(connection, handler));
            }
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private void serve(Socket connection, RequestHandler handler) {
        try (connection) {
            while (readRequest(connection.getInputStream())) {
                requests.incrementAndGet();
                handler.handle(connection);
            }
        } catch (IOException e) {
            // the connection was closed
        }
    }

    /** Reads a request with the body "body"; returns false at the end of the connection. */
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
