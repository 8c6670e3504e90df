package org.mangoridge.core.net;

import java.net.InetSocketAddress;
import java.net.URI;

import org.mangoridge.core.Checks;

/**
 * The host and port that a process listens on.
 *
 * @param host an IP address
 * @param port a TCP port; 0 asks the system for a free one when listening
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65535;

    public HostPort {
        Checks.notBlank(host, "host");
        Checks.argument(port >= 0 && port <= MAX_PORT, "port must be between 0 and %d: %d", MAX_PORT, port);
    }

    /**
     * Parses an address of the form {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if {@code text} is not of this form
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        Checks.argument(colon > 0, "address must be HOST:PORT: %s", text);
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address must be HOST:PORT: " + text, e);
        }
    }

    /** Returns the same host with another port. */
    public HostPort withPort(int other) {
        return new HostPort(host, other);
    }

    /** Returns the HTTP URI of {@code path}, which starts with a slash, at this host and port. */
    public URI httpUri(String path) {
        return URI.create("http://" + this + path);
    }

    /** Returns the address as a socket address, resolved if the host is an IP address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
