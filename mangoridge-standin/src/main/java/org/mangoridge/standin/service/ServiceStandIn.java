package org.mangoridge.standin.service;

import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.engine.plain.HttpPlainService;
import org.mangoridge.http.Headers;
import org.mangoridge.http.Json;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;
import org.mangoridge.web.WebServer;

/** A plain service that takes orders, which must not run twice, and counts how often each ran. */
public final class ServiceStandIn implements AutoCloseable, WebHandler {

    private static final int MAX_BODY_BYTES = 1 << 20;

    /**
     * An order.
     *
     * @param order its number, chosen by the caller
     * @param item what is ordered
     */
    public record Order(String order, String item) {}

    /**
     * The answer to an order.
     *
     * @param order its number
     * @param run how often it has run, this time included
     */
    public record Placed(String order, int run) {}

    private static final String OTHER_ATTEMPT = "another-request.1";

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Queue<ServiceFault> faults = new ConcurrentLinkedQueue<>();
    private final CountDownLatch goOn = new CountDownLatch(1);
    private WebServer server;

    private ServiceStandIn() {}

    /** Starts a service that listens on {@code bind}. */
    public static ServiceStandIn start(HostPort bind) {
        ServiceStandIn service = new ServiceStandIn();
        service.server = WebServer.start(bind, MAX_BODY_BYTES, 1, service);
        return service;
    }

    /** Returns the address listened on. */
    public HostPort address() {
        return server.address();
    }

    /** Returns how often each order ran. */
    public Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    /** Shows {@code fault} with the next order that has none yet. */
    public void injectFault(ServiceFault fault) {
        faults.add(fault);
    }

    /** Goes on with what is stalled or late. */
    public void resume() {
        goOn.countDown();
    }

    @Override
    public void close() {
        server.close();
    }

    @Override
    public WebReply handle(WebRequest request) {
        if (request.is("POST", "/orders")) {
            return switch (Json.read(request.body(), Order.class)) {
                case Result.Ok<Order, String> ok when ok.value().order() != null -> order(request, ok.value());
                case Result.Ok<Order, String> ok ->
                    WebReply.json(400, ErrorBody.of("malformed", "\"order\" is missing"));
                case Result.Err<Order, String> err -> WebReply.json(400, ErrorBody.of("malformed", err.error()));
            };
        }
        if (request.method().equals("GET") && request.path().startsWith("/stock/")) {
            return WebReply.json(
                    200, echo(request), new Order("stock", request.path().substring(7)));
        }
        return WebReply.json(404, ErrorBody.of("not_found", "no such path"));
    }

    private WebReply order(WebRequest request, Order order) {
        ServiceFault fault = faults.poll();
        if (fault == null) {
            return place(request, order);
        }
        return switch (fault) {
            case DIE_BEFORE_RUN -> new WebReply.Dropped();
            case DIE_AFTER_RUN -> {
                place(request, order);
                yield new WebReply.Dropped();
            }
            case STALL -> {
                awaitGoOn();
                yield place(request, order);
            }
            case LATE_ANSWER -> {
                WebReply late = place(request, order);
                awaitGoOn();
                yield late;
            }
            case TRUNCATED_ANSWER -> {
                place(request, order);
                yield new WebReply.Streamed(201, echo(request), sink -> {
                    sink.writeEvent("{\"order\": ");
                    sink.abort();
                });
            }
            case CROSSED_ANSWER -> {
                place(request, order);
                Headers other = Headers.of(HttpPlainService.ATTEMPT_HEADER, OTHER_ATTEMPT);
                yield WebReply.json(201, other, new Placed("order of another", 1));
            }
        };
    }

    private void awaitGoOn() {
        try {
            goOn.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private WebReply place(WebRequest request, Order order) {
        int run = runs.merge(order.order(), 1, Integer::sum);
        return WebReply.json(201, echo(request), new Placed(order.order(), run));
    }

    private static Headers echo(WebRequest request) {
        return request.headers()
                .value(HttpPlainService.ATTEMPT_HEADER)
                .map(attempt -> Headers.of(HttpPlainService.ATTEMPT_HEADER, attempt))
                .orElse(Headers.empty());
    }
}
