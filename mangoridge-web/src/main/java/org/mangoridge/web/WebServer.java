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

/** An HTTP server that calls a {@link WebHandler} for each request, on a virtual thread of its own. */
public final class WebServer implements AutoCloseable {

    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private final RatpackServer server;
    private final ExecutorService handlerThreads;
    private final HostPort address;
    private final RequestDispatcher dispatcher;

    private WebServer(
            RatpackServer server, ExecutorService handlerThreads, HostPort address, RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        this.server = server;
        this.handlerThreads = handlerThreads;
        this.address = address;
    }

    /**
     * Starts a server that listens on {@code bind}.
     *
     * @param maxBodyBytes the size limit of a request body; {@link WebHandler#rejectOversizedBody} answers larger ones
     * @param eventLoops the number of event loop threads, which read requests and write replies
     * @throws IllegalStateException if the server cannot listen on the address
     */
    public static WebServer start(HostPort bind, int maxBodyBytes, int eventLoops, WebHandler handler) {
        Checks.notNull(handler, "handler");
        ExecutorService handlerThreads = Executors.newVirtualThreadPerTaskExecutor();
        RequestDispatcher dispatcher = new RequestDispatcher(maxBodyBytes, handler, handlerThreads);
        try {
            RatpackServer server = RatpackServer.start(spec -> spec.serverConfig(ServerConfig.embedded()
                            .address(bind.socketAddress().getAddress())
                            .port(bind.port())
                            .threads(eventLoops)
                            .idleTimeout(IDLE_TIMEOUT)
                            .maxContentLength(maxBodyBytes + RequestDispatcher.MAX_EXCESS_BODY_BYTES)
                            .development(false))
                    .handlers(chain -> chain.all(dispatcher)));
            return new WebServer(server, handlerThreads, bind.withPort(server.getBindPort()), dispatcher);
        } catch (Exception e) {
            handlerThreads.shutdownNow();
            throw new IllegalStateException("can't listen on " + bind + ": " + e.getMessage(), e);
        }
    }

    /** Returns the address on which the server listens, with the actual port if the system was to choose one. */
    public HostPort address() {
        return address;
    }

    /** Returns the number of requests whose handler is still running or whose reply is not yet fully sent. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /**
     * Interrupts the handlers of all requests in progress; each handler decides how to answer.
     *
     * <p>No handler is given a thread of its own afterwards.
     */
    public void interruptRequests() {
        handlerThreads.shutdownNow();
    }

    /** Stops listening and interrupts all requests in progress. */
    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "server stop"));
        }
        handlerThreads.shutdownNow();
    }
}
