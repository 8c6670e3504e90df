package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.config.ServiceSpec;
import org.mangoridge.dispatch.request.CallerRequest;
import org.mangoridge.dispatch.workspace.CallerAccess;
import org.mangoridge.gateway.log.GuardedTask;
import org.mangoridge.gateway.net.CallerExchange;
import org.mangoridge.gateway.net.RequestHandler;

/** Routes requests to their services under the configuration in force at that moment; used on the event loop. */
public final class RequestRouter implements RequestHandler {

    /**
     * Maximum time that a request waits while the instance starts; the configuration and the server list arrive about
     * 50 ms after the port opens.
     */
    private static final Duration MAX_HOLD_TIME = Duration.ofMillis(400);

    private static final int MAX_HELD_REQUESTS = 128;
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(800);

    private final GatewayContext context;
    private final ModelQueue queue;
    private final BooleanSupplier configBehind;
    private GatewayConfig config;
    private final Set<CallerExchange> heldRequests = new LinkedHashSet<>();

    private RequestRouter(GatewayContext context, BooleanSupplier configBehind) {
        this.context = context;
        this.configBehind = configBehind;
        this.queue = new ModelQueue(context);
    }

    /**
     * Returns a router without a configuration; until it is ready, requests are held briefly and then refused.
     *
     * @param configBehind tells whether another instance is known to have a newer configuration
     */
    public static RequestRouter create(GatewayContext context, BooleanSupplier configBehind) {
        return new RequestRouter(context, configBehind);
    }

    /** Adopts a configuration if it is newer than the one in force; otherwise returns false. */
    public boolean adopt(GatewayConfig newer) {
        if (config != null && newer.version() <= config.version()) {
            return false;
        }
        config = newer;
        context.quotas().configure(newer);
        routeHeldRequests();
        return true;
    }

    /** Returns the configuration in force; empty before the first one. */
    public Optional<GatewayConfig> config() {
        return Optional.ofNullable(config);
    }

    /** Serves the requests that were held during startup if the instance is ready, and places queued requests. */
    public void placeWaitingRequests() {
        routeHeldRequests();
        queue.placeWaitingRequests();
    }

    /** Returns where a request would go now and why, as lines of a name and a value; sends and changes nothing. */
    public String explain(RequestQuestion question, boolean draining) {
        return new RequestExplainer(context, queue, question).explain(config(), draining);
    }

    @Override
    public void handle(CallerExchange exchange) {
        context.metrics().count("requests");
        run(exchange, () -> routeOrHold(exchange));
    }

    /** Runs a step of a request that has no guard of its own yet; if it fails, the request has not run and is refused. */
    private void run(CallerExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            GuardedTask.logError(
                    context.log(),
                    "routing",
                    e,
                    Field.of("path", exchange.request().path()));
            new RefusalWriter(context.dialect())
                    .refuse(
                            exchange,
                            Optional.empty(),
                            new Refusal(
                                    RefusalReason.INTERNAL,
                                    Verdict.NOT_RUN,
                                    "internal error of the instance",
                                    Optional.empty()));
        }
    }

    private void routeOrHold(CallerExchange exchange) {
        if (isReady()) {
            route(exchange);
        } else if (heldRequests.size() < MAX_HELD_REQUESTS) {
            hold(exchange);
        } else {
            refuseNotReady(exchange);
        }
    }

    private boolean isReady() {
        return config != null && context.directory().isLoaded();
    }

    /** Holds a request until the instance is ready, at most for {@link #MAX_HOLD_TIME}. */
    private void hold(CallerExchange exchange) {
        heldRequests.add(exchange);
        exchange.onDisconnect(() -> heldRequests.remove(exchange));
        exchange.onInstanceStop(() -> run(exchange, () -> {
            heldRequests.remove(exchange);
            refuseDraining(exchange, read(exchange));
        }));
        context.schedule(
                MAX_HOLD_TIME,
                () -> run(exchange, () -> {
                    if (heldRequests.remove(exchange)) {
                        refuseNotReady(exchange);
                    }
                }));
    }

    private void routeHeldRequests() {
        if (!heldRequests.isEmpty() && isReady()) {
            List<CallerExchange> waiting = List.copyOf(heldRequests);
            heldRequests.clear();
            waiting.forEach(exchange -> run(exchange, () -> route(exchange)));
        }
    }

    private void refuseNotReady(CallerExchange exchange) {
        refuse(
                exchange,
                read(exchange),
                Refusal.notRun(
                        RefusalReason.NOT_READY,
                        "the instance is starting and not ready yet; retry later",
                        NOT_READY_RETRY_AFTER));
    }

    private Result<CallerRequest, String> read(CallerExchange exchange) {
        return context.dialect().readRequest(exchange.request().headers());
    }

    private void route(CallerExchange exchange) {
        Result<CallerRequest, String> read = read(exchange);
        Optional<Route> route =
                config.route(hostOf(exchange), exchange.request().path());
        if (route.isEmpty()) {
            refuse(
                    exchange,
                    read,
                    Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, "no route matches the host and path of the request"));
        } else if (!read.isOk()) {
            refuse(exchange, read, Refusal.notRun(RefusalReason.MALFORMED, read.error()));
        } else {
            config.access(route.get(), read.value().key())
                    .ifPresentOrElse(
                            access -> serve(exchange, route.get(), read.value(), access),
                            () -> refuse(exchange, read, unknownKey()));
        }
    }

    /** Returns the refusal of a caller without a known key; it is not final if a newer configuration may know the key. */
    private Refusal unknownKey() {
        return configBehind.getAsBoolean()
                ? Refusal.notRun(
                        RefusalReason.NOT_READY,
                        "the instance has yet to learn the newest configuration; retry later",
                        NOT_READY_RETRY_AFTER)
                : Refusal.notRun(RefusalReason.BAD_KEY, "the request needs an API key that is known");
    }

    private void refuseDraining(CallerExchange exchange, Result<CallerRequest, String> read) {
        refuse(exchange, read, Refusal.notRun(RefusalReason.DRAINING, RequestScope.DRAINING_DETAIL, Duration.ZERO));
    }

    private static String hostOf(CallerExchange exchange) {
        String host = exchange.request().headers().get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void serve(CallerExchange exchange, Route route, CallerRequest caller, CallerAccess access) {
        ServiceId service = route.serviceOf(caller.id());
        Optional<EngineSpec> engine = config.service(service).flatMap(ServiceSpec::engine);
        RequestScope scope = new RequestScope(
                context, exchange, route, service, engine.isPresent(), caller, access, config.version());
        if (scope.refuseIfTooLate() || scope.refuseIfOverQuota()) {
            return;
        }
        context.retryBudget().recordRequest(service, context.now());
        context.limiter().recordRequest(service, context.now());
        if (engine.isPresent()) {
            new ModelExchange(context, scope, engine.get(), queue).start();
        } else {
            new PlainExchange(context, scope).start();
        }
    }

    private void refuse(CallerExchange exchange, Result<CallerRequest, String> read, Refusal refusal) {
        Optional<RequestId> id = read.isOk() ? Optional.of(read.value().id()) : Optional.empty();
        context.metrics().countRefusal(refusal.reason());
        int status = new RefusalWriter(context.dialect())
                .refuse(exchange, id, refusal)
                .code();
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
