package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages over plain streams, for the stand-ins of the review. */
public final class Http {

    private Http() {}

    /** A message: its first line, its headers in order and its body. */
    public static final class Message {
        public String line;
        public final List<String[]> headers = new ArrayList<>();
        public byte[] body = new byte[0];
        /** Whether the body was complete. */
        public boolean whole = true;

        public String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        public String method() {
            return line.split(" ")[0];
        }

        public String path() {
            return line.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null at the end of the stream. */
    public static Message head(InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.line = first;
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            message.headers.add(new String[] {next.substring(0, colon), next.substring(colon + 1).trim()});
        }
        return message;
    }

    /** Reads a whole request; null at the end of the stream. */
    public static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            readBody(in, message, false);
        }
        return message;
    }

    /** Reads a whole response; {@code whole} tells whether it was complete. */
    public static Message response(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            readBody(in, message, true);
        }
        return message;
    }

    static void readBody(InputStream in, Message message, boolean toEnd) throws IOException {
        String length = message.header("Content-Length");
        String coding = message.header("Transfer-Encoding");
        if (coding != null) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            message.whole = false;
            try {
                for (String size = line(in); size != null; size = line(in)) {
                    int bytes = Integer.parseInt(size.trim(), 16);
                    byte[] chunk = in.readNBytes(bytes);
                    all.writeBytes(chunk);
                    if (chunk.length < bytes) {
                        break;
                    }
                    line(in);
                    if (bytes == 0) {
                        message.whole = true;
                        break;
                    }
                }
            } catch (IOException e) {
                message.whole = false;
            }
            message.body = all.toByteArray();
        } else if (length != null) {
            int bytes = Integer.parseInt(length.trim());
            try {
                message.body = in.readNBytes(bytes);
            } catch (IOException e) {
                message.whole = false;
                return;
            }
            message.whole = message.body.length == bytes;
        } else if (toEnd) {
            message.body = in.readAllBytes();
        }
    }

    /** Writes a response with a length. */
    public static void respond(OutputStream out, int status, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Begins a response in chunks. */
    public static void begin(OutputStream out, List<String> headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes a chunk; an empty one ends the response. */
    public static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(bytes);
        all.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(all.toByteArray());
        out.flush();
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 1 << 16);
    }
}
