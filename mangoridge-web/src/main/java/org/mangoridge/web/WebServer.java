package org.mangoridge.web;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.mangoridge.core.Checks;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.net.HostPort;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** Listens for HTTP requests and hands each to a {@link WebHandler} on a virtual thread of its own. */
public final class WebServer implements AutoCloseable {

    private static final Duration LONGEST_SILENCE = Duration.ofMinutes(5);

    private final RatpackServer server;
    private final ExecutorService threads;
    private final HostPort address;
    private final RequestDispatcher dispatcher;

    private WebServer(RatpackServer server, ExecutorService threads, HostPort address, RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        this.server = server;
        this.threads = threads;
        this.address = address;
    }

    /**
     * Listens on {@code bind}.
     *
     * @param maxBodyBytes requests with a larger body are answered 413 without reaching the handler
     * @param eventLoops how many threads move bytes
     * @throws IllegalStateException if the address can't be listened on
     */
    public static WebServer start(HostPort bind, int maxBodyBytes, int eventLoops, WebHandler handler) {
        Checks.notNull(handler, "handler");
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        RequestDispatcher dispatcher = new RequestDispatcher(maxBodyBytes, handler, threads);
        try {
            RatpackServer server = RatpackServer.start(spec -> spec.serverConfig(ServerConfig.embedded()
                            .address(bind.socketAddress().getAddress())
                            .port(bind.port())
                            .threads(eventLoops)
                            .idleTimeout(LONGEST_SILENCE)
                            .maxContentLength(maxBodyBytes + RequestDispatcher.READ_PAST_LIMIT_BYTES)
                            .development(false))
                    .handlers(chain -> chain.all(dispatcher)));
            return new WebServer(server, threads, bind.withPort(server.getBindPort()), dispatcher);
        } catch (Exception e) {
            threads.shutdownNow();
            throw new IllegalStateException("can't listen on " + bind + ": " + e.getMessage(), e);
        }
    }

    /** Returns the address listened on, with the port that the system chose if 0 was asked for. */
    public HostPort address() {
        return address;
    }

    /** Returns how many requests have come whose answers are not yet sent whole. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Interrupts the handlers of all requests in progress, which then answer as they see fit; none is taken after. */
    public void interruptRequests() {
        threads.shutdownNow();
    }

    /** Stops listening and ends what is in progress. */
    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "server stop"));
        }
        threads.shutdownNow();
    }
}
