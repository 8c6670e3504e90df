package org.mangoridge.cli.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import org.mangoridge.core.net.HostPort;

/** Passes connections on, and lets those that are open go silent for good while new ones work. */
final class SilentProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 8192;

    private final HostPort target;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicInteger epoch = new AtomicInteger();

    private SilentProxy(HostPort target, ServerSocket listener) {
        this.target = target;
        this.listener = listener;
    }

    static SilentProxy start(HostPort target) throws IOException {
        SilentProxy proxy = new SilentProxy(target, new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        proxy.threads.execute(proxy::accept);
        return proxy;
    }

    HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    /** From now on nothing comes through the connections that are open; none of them is closed. */
    void silenceOpenConnections() {
        epoch.incrementAndGet();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        threads.shutdownNow();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket(target.host(), target.port());
                sockets.add(near);
                sockets.add(far);
                int born = epoch.get();
                threads.execute(() -> copy(near, far, born));
                threads.execute(() -> copy(far, near, born));
            } catch (IOException e) {
                // closed, or the target is gone and the connection is dropped
            }
        }
    }

    private void copy(Socket from, Socket to, int born) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (epoch.get() == born) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
            if (epoch.get() == born) {
                to.close();
            }
        } catch (IOException e) {
            // one side is closed; the other notices by itself, or not at all once silent
        }
    }
}
