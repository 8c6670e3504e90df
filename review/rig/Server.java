package rig;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server that registers itself in the store and answers requests one at a time on each connection. */
public abstract class Server {

    public final String id;
    public final String service;
    public final String zone;
    public final long born = System.currentTimeMillis();
    protected final Record record;
    private final Store store;
    private final String stage;
    private final int slots;
    private final ServerSocket listening;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile String state = "ready";
    private volatile boolean ended;
    private int seq;

    /** A connection of a caller. */
    public static final class Connection {
        public final Socket socket;
        public final InputStream in;
        public final OutputStream out;
        public int calls;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = Http.buffered(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        /** Returns whether the caller has closed the connection; reads ahead at most what it sends early. */
        public boolean isGone() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                if (next >= 0) {
                    in.reset();
                }
                return next < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException e) {
                    // Closed.
                }
            }
        }
    }

    protected Server(Record record, Store store, String id, String service, String zone, String stage, int slots)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
        this.slots = slots;
        this.listening = new ServerSocket();
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Thread.ofVirtual().start(this::accept);
        register();
        Thread.ofVirtual().start(this::beat);
    }

    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private void beat() {
        while (!ended) {
            try {
                Thread.sleep(1200);
            } catch (InterruptedException e) {
                return;
            }
            // A report that changes no more than "seq" does not change the entry.
            seq++;
            store.countCall();
        }
    }

    private synchronized void register() {
        if (ended) {
            return;
        }
        ObjectNode spec = Store.JSON.createObjectNode();
        spec.put("service", service).put("address", address()).put("zone", zone).put("version", "v1")
                .put("slots", slots).put("state", state).put("cold_left_ms", 0).put("seq", ++seq).put("born", born);
        if (stage != null) {
            spec.put("stage", stage).putArray("models").addObject().put("name", "m").put("version", 1)
                    .putArray("adapters");
        }
        store.put("servers", id, spec);
    }

    /** Reports in the store that the server leaves; returns when the store has confirmed it. */
    public void drain() {
        state = "draining";
        register();
    }

    /** Removes the entry; returns when the store has confirmed it. The server serves on. */
    public synchronized void unlist() {
        ended = true;
        store.remove("servers", id);
    }

    /** Ends the server: closes all connections and removes its entry. */
    public synchronized void end() {
        ended = true;
        try {
            listening.close();
        } catch (IOException e) {
            // Closed.
        }
        sockets.forEach(socket -> {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed.
            }
        });
        store.remove("servers", id);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            for (Http.Message request = Http.request(connection.in);
                    request != null;
                    request = Http.request(connection.in)) {
                String expected = request.header("Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    List<String> headers = new ArrayList<>(List.of("Instance-Id: " + id, "Not-Executed: 1"));
                    if (request.header("Request-Id") != null) {
                        headers.add("Request-Id: " + request.header("Request-Id"));
                    }
                    Http.respond(connection.out, 421, headers, new byte[0]);
                } else {
                    connection.calls++;
                    handle(request, connection);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone, or the server has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request; an exception closes the connection. */
    protected abstract void handle(Http.Message request, Connection connection)
            throws IOException, InterruptedException;
}
