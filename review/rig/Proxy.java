package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stands between the instances and the store, and can lose track of the connections that are open. */
public final class Proxy {

    private final String host;
    private final int port;
    private final ServerSocket listening;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private static final class Link {
        private volatile boolean silent;
    }

    public Proxy(String target) throws IOException {
        host = target.split(":")[0];
        port = Integer.parseInt(target.split(":")[1]);
        listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Passes nothing on any more, either way, on the connections that are open; new ones work. */
    public int silence() {
        links.forEach(link -> link.silent = true);
        return links.size();
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = listening.accept();
                Socket target = new Socket(host, port);
                caller.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                Link link = new Link();
                links.add(link);
                Thread.ofVirtual().start(() -> pass(link, caller, target));
                Thread.ofVirtual().start(() -> pass(link, target, caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pass(Link link, Socket from, Socket to) {
        byte[] bytes = new byte[1 << 14];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
                if (!link.silent) {
                    out.write(bytes, 0, read);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // One side has closed.
        } finally {
            if (!link.silent) {
                links.remove(link);
                close(from);
                close(to);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed.
        }
    }
}
