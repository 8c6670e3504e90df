import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Sends requests as a client does, each on a new connection that asks to be kept. */
final class Caller {

    /** How a request ended. */
    enum End {
        /** With a complete answer. */
        ANSWERED,
        /** The instance closed the connection before the answer was complete. */
        CLOSED,
        /** The client left: no answer, or no event, for as long as the pages say that it waits. */
        LEFT
    }

    /**
     * A request and what its client saw.
     *
     * @param status the status; 0 if there was no head
     * @param end how it ended
     * @param sentAt when it was sent, in milliseconds since the start
     * @param endedAt when it ended, in the same way
     * @param lastEventAt when the last event arrived; -1 if none did
     * @param events how many events came
     * @param body the body; empty for a stream
     */
    record Outcome(
            String id, int status, End end, long sentAt, long endedAt, long lastEventAt, int events, String body,
            String retryAfter, boolean signed) {}

    private final Record record;
    private final String host;

    Caller(Record record, String host) {
        this.record = record;
        this.host = host;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /**
     * Sends a request for a stream and reads it.
     *
     * @param gapMillis the gap after which the client leaves
     */
    Outcome stream(Instance instance, String path, int prompt, int output, int deadlineMillis, int gapMillis)
            throws IOException {
        String id = newId();
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
                + "\r\nModel: m\r\nToken-Usage: " + prompt + "," + output + "\r\nPrefix-Hash: " + newId().substring(0, 8)
                + ":200," + newId().substring(0, 8) + ":" + (prompt - 200) + "\r\nDeadline-Ms: " + deadlineMillis
                + "\r\nContent-Type: application/json\r\nContent-Length: 3000\r\n\r\n" + "x".repeat(3000);
        return exchange(instance, id, head, deadlineMillis, gapMillis);
    }

    /** Sends another request and reads its answer. */
    Outcome call(Instance instance, String method, String path, String body, int deadlineMillis) throws IOException {
        String id = newId();
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n"
                + (method.equals("GET") ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
        return exchange(instance, id, head, deadlineMillis, deadlineMillis);
    }

    private Outcome exchange(Instance instance, String id, String text, int deadlineMillis, int gapMillis)
            throws IOException {
        long sentAt = record.millis();
        int status = 0;
        int events = 0;
        long lastEventAt = -1;
        String retryAfter = null;
        boolean signed = false;
        StringBuilder body = new StringBuilder();
        End end;
        try (Socket socket = new Socket()) {
            socket.connect(Instance.socketAddress(instance.front), 1000);
            socket.setTcpNoDelay(true);
            sentAt = record.millis();
            Http.write(socket.getOutputStream(), text);
            record.line("sent %s to %s", id, instance.node);
            InputStream in = new BufferedInputStream(new Patient(socket, sentAt + deadlineMillis, gapMillis));
            String line = Http.readLine(in);
            if (line == null) {
                throw new java.io.EOFException("closed without an answer");
            }
            status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = Http.readHeaders(in);
            retryAfter = headers.get("Retry-After");
            signed = headers.containsKey("Response-Signature");
            if (headers.containsKey("Transfer-Encoding")) {
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    events++;
                    lastEventAt = record.millis();
                }
            } else {
                int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) {
                    throw new java.io.EOFException("closed within the body");
                }
                body.append(new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1));
            }
            end = End.ANSWERED;
        } catch (SocketTimeoutException e) {
            end = End.LEFT;
        } catch (IOException e) {
            end = End.CLOSED;
        }
        long endedAt = record.millis();
        record.line(
                "end of %s: %s status %d events %d after %d ms, last event after %d ms %s", id, end, status, events,
                endedAt - sentAt, lastEventAt < 0 ? -1 : lastEventAt - sentAt, body);
        return new Outcome(
                id, status, end, sentAt, endedAt, lastEventAt, events, body.toString(), retryAfter, signed);
    }

    /** Reads from a socket until a gap or the end of the client's time. */
    private final class Patient extends InputStream {

        private final Socket socket;
        private final InputStream in;
        private final long until;
        private final int gapMillis;

        Patient(Socket socket, long until, int gapMillis) throws IOException {
            this.socket = socket;
            this.in = socket.getInputStream();
            this.until = until;
            this.gapMillis = gapMillis;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            long left = Math.min(gapMillis, until - record.millis());
            if (left <= 0) {
                throw new SocketTimeoutException("the client's time is over");
            }
            socket.setSoTimeout((int) left);
            return in.read(bytes, from, length);
        }
    }
}
