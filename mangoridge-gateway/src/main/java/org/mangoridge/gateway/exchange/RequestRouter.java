package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.gateway.config.GatewayConfig;
import org.mangoridge.gateway.config.Route;
import org.mangoridge.gateway.config.ServiceSpec;
import org.mangoridge.gateway.net.CallerExchange;
import org.mangoridge.gateway.net.RequestHandler;
import org.mangoridge.gateway.request.CallerRequest;

/** Finds the route of a request and has it served under the configuration of that moment; used on the event loop. */
public final class RequestRouter implements RequestHandler {

    /** How long a request waits for an instance that starts; the lists take some 50 ms after it listens. */
    private static final Duration HOLD = Duration.ofMillis(400);

    private static final int MAX_HELD = 128;
    private static final Duration NOT_READY_RETRY = Duration.ofMillis(800);

    private final GatewayContext context;
    private final ModelQueue queue;
    private GatewayConfig config;
    private Takes takes = Takes.EVERYTHING;
    private final Set<CallerExchange> held = new LinkedHashSet<>();

    private enum Takes {
        EVERYTHING,
        SHORT_ONLY,
        NOTHING
    }

    private RequestRouter(GatewayContext context) {
        this.context = context;
        this.queue = new ModelQueue(context);
    }

    /** Returns a router without a configuration; until it has one, requests are told to come back. */
    public static RequestRouter create(GatewayContext context) {
        return new RequestRouter(context);
    }

    /** Puts a configuration in force; one that is not newer changes nothing. */
    public boolean adopt(GatewayConfig newer) {
        if (config != null && newer.version() <= config.version()) {
            return false;
        }
        config = newer;
        serveHeld();
        return true;
    }

    /** Returns the configuration in force. */
    public Optional<GatewayConfig> config() {
        return Optional.ofNullable(config);
    }

    /** From now on refuses streams: this instance ends before they would. */
    public void refuseStreams() {
        takes = Takes.SHORT_ONLY;
    }

    /** From now on refuses every request: this instance ends before it would be served. */
    public void refuseAll() {
        takes = Takes.NOTHING;
    }

    /** Looks again for room for requests that wait. */
    public void placeWaitingRequests() {
        serveHeld();
        queue.placeWaitingRequests();
    }

    @Override
    public void handle(CallerExchange exchange) {
        context.metrics().count("requests");
        if (started()) {
            route(exchange);
        } else if (held.size() < MAX_HELD) {
            hold(exchange);
        } else {
            refuseNotReady(exchange);
        }
    }

    private boolean started() {
        return config != null && context.directory().isLoaded();
    }

    /** Keeps a request that came while the instance starts; the lists that it waits for take some milliseconds. */
    private void hold(CallerExchange exchange) {
        held.add(exchange);
        exchange.onDisconnect(() -> held.remove(exchange));
        context.after(HOLD, () -> {
            if (held.remove(exchange)) {
                refuseNotReady(exchange);
            }
        });
    }

    private void serveHeld() {
        if (!held.isEmpty() && started()) {
            List<CallerExchange> waiting = List.copyOf(held);
            held.clear();
            waiting.forEach(this::route);
        }
    }

    private void refuseNotReady(CallerExchange exchange) {
        refuse(
                exchange,
                read(exchange),
                Refusal.notRun(RefusalReason.NOT_READY, "no configuration yet", NOT_READY_RETRY));
    }

    private Result<CallerRequest, String> read(CallerExchange exchange) {
        return context.dialect().readRequest(exchange.request().headers());
    }

    private void route(CallerExchange exchange) {
        Result<CallerRequest, String> read = read(exchange);
        Optional<Route> route =
                config.route(hostOf(exchange), exchange.request().path());
        if (route.isEmpty()) {
            refuse(exchange, read, Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, "no route has this host and path"));
        } else if (!read.isOk()) {
            refuse(exchange, read, Refusal.notRun(RefusalReason.MALFORMED, read.error()));
        } else if (!takes(route.get())) {
            refuse(exchange, read, Refusal.notRun(RefusalReason.DRAINING, "this instance ends", Duration.ZERO));
        } else {
            serve(exchange, route.get(), read.value());
        }
    }

    private boolean takes(Route route) {
        return switch (takes) {
            case EVERYTHING -> true;
            case SHORT_ONLY -> !route.streaming();
            case NOTHING -> false;
        };
    }

    private static String hostOf(CallerExchange exchange) {
        String host = exchange.request().headers().get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void serve(CallerExchange exchange, Route route, CallerRequest caller) {
        ServiceId service = route.serviceOf(caller.id());
        context.budget().recordRequest(service, context.now());
        RequestScope scope = new RequestScope(context, exchange, route, service, caller, config.version());
        Optional<ServiceSpec> spec = config.service(service);
        if (spec.isPresent() && spec.get().engine().isPresent()) {
            new ModelExchange(context, scope, spec.get().engine().get(), queue).start();
        } else {
            new PlainExchange(context, scope).start();
        }
    }

    private void refuse(CallerExchange exchange, Result<CallerRequest, String> read, Refusal refusal) {
        Optional<RequestId> id = read.isOk() ? Optional.of(read.value().id()) : Optional.empty();
        context.metrics().refused(refusal.reason());
        int status =
                new OwnAnswers(context.dialect()).refuse(exchange, id, refusal).code();
        context.log().log(
                LogEvent.REQUEST_REFUSED,
                Field.of("request", id.map(RequestId::value).orElse("none")),
                Field.of("host", hostOf(exchange)),
                Field.of("path", exchange.request().path()),
                Field.of("config", config == null ? -1 : config.version()),
                Field.of("reason", refusal.reason().code()),
                Field.of("status", status));
    }
}
