import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on plain sockets. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers and its whole body. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Serves the requests of one connection; returns false to close it. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server at a loopback address whose connections can be broken all at once. */
    static final class Listener {

        private final Handler handler;
        private final int port;
        private ServerSocket listening;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Listener(int port, Handler handler) throws IOException {
            this.handler = handler;
            this.listening = bind(port);
            this.port = listening.getLocalPort();
            acceptFrom(listening);
        }

        private static ServerSocket bind(int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
            return socket;
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        /** Ends as a killed process does: nothing listens, and all connections close. */
        synchronized void kill() throws IOException {
            listening.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        synchronized void listenAgain() throws IOException {
            listening = bind(port);
            acceptFrom(listening);
        }

        private void acceptFrom(ServerSocket source) {
            Thread.ofVirtual().start(() -> {
                while (true) {
                    try {
                        Socket socket = source.accept();
                        socket.setTcpNoDelay(true);
                        sockets.add(socket);
                        Thread.ofVirtual().start(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message request = read(in); request != null; request = read(in)) {
                    if (!handler.handle(request, out, socket)) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The other side has gone, or this server was killed.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
    }

    /** Reads a message whose body has a length or comes in chunks; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = readHeaders(in);
        if (headers.containsKey("Transfer-Encoding")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            return new Message(line, headers, body.toByteArray());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(line, headers, body);
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the connection ended between chunks");
        }
        int size = Integer.parseInt(line.trim(), 16);
        byte[] data = in.readNBytes(size);
        if (data.length < size || readLine(in) == null) {
            throw new EOFException("the connection ended within a chunk");
        }
        return data;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void respond(OutputStream out, int status, String headers, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
    }

    static void writeChunk(OutputStream out, String data) throws IOException {
        write(out, Integer.toHexString(data.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + data + "\r\n");
    }
}
