package org.mangoridge.entry.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.config.ApplyId;
import org.mangoridge.config.ApplyRequest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.entry.auth.OperatorAuthenticator;
import org.mangoridge.http.Json;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Serves the HTTP endpoints for the configuration and the audit trail; requires an operator token. */
public final class ConfigEndpoint implements WebHandler {

    private final OperatorAuthenticator operators;
    private final Publisher publisher;
    private final AuditQueryHandler audit;
    private final Supplier<PublishedConfig> inForce;
    private final String instance;
    private final LaggingPeers laggingPeers;

    private ConfigEndpoint(
            OperatorAuthenticator operators,
            Publisher publisher,
            AuditQueryHandler audit,
            Supplier<PublishedConfig> inForce,
            String instance,
            LaggingPeers laggingPeers) {
        this.operators = operators;
        this.publisher = publisher;
        this.audit = audit;
        this.inForce = inForce;
        this.instance = instance;
        this.laggingPeers = laggingPeers;
    }

    /**
     * Returns an endpoint.
     *
     * @param inForce returns the configuration that this instance has in force
     * @param instance this instance's name, which is recorded in the audit trail
     * @param peers the other instances, which are asked for their generation
     */
    public static ConfigEndpoint create(
            OperatorAuthenticator operators,
            Publisher publisher,
            AuditQueryHandler audit,
            Supplier<PublishedConfig> inForce,
            String instance,
            ConfigPeers peers) {
        return new ConfigEndpoint(operators, publisher, audit, inForce, instance, new LaggingPeers(peers));
    }

    /** Returns whether this endpoint handles {@code path}. */
    public static boolean serves(String path) {
        return path.startsWith("/config/") || path.equals("/audit");
    }

    @Override
    public WebReply handle(WebRequest request) {
        Optional<String> operator = operators.authenticate(request.headers());
        if (operator.isEmpty()) {
            return WebReply.json(
                    401,
                    ErrorBody.of(
                            "unauthenticated",
                            "the operator token is missing or unknown; expected Bearer OPERATOR.SECRET"));
        }
        return switch (request.method() + " " + request.path()) {
            case "POST /config/apply" -> apply(request, operator.get());
            case "POST /config/diff" -> diff(request);
            case "POST /config/ask" -> ask(request);
            case "GET /config/behind" -> behind(request);
            case "GET /audit" -> audit.handle(request, inForce.get().manifest());
            default -> WebReply.json(404, ErrorBody.of("not_found", "nothing is served at this method and path"));
        };
    }

    private WebReply apply(WebRequest request, String operator) {
        Result<ConfigMessages.Apply, String> body = Json.read(request.body(), ConfigMessages.Apply.class);
        if (!body.isOk()) {
            return malformed(body.error());
        }
        return switch (applyId(body.value().id())) {
            case Result.Err<ApplyId, String> err -> malformed(err.error());
            case Result.Ok<ApplyId, String> ok -> {
                ApplyRequest apply = new ApplyRequest(
                        ok.value(),
                        operator,
                        body.value().from() + " through " + instance,
                        Optional.ofNullable(body.value().base()),
                        body.value().sections());
                yield WebReply.json(200, publisher.apply(apply, inForce.get()));
            }
        };
    }

    private WebReply diff(WebRequest request) {
        Result<ConfigMessages.Apply, String> body = Json.read(request.body(), ConfigMessages.Apply.class);
        if (!body.isOk()) {
            return malformed(body.error());
        }
        return switch (publisher.diff(body.value().sections(), inForce.get())) {
            case Result.Ok<Publisher.Difference, StoreFailure> ok -> WebReply.json(200, ok.value());
            case Result.Err<Publisher.Difference, StoreFailure> err ->
                WebReply.json(503, ErrorBody.of("platform", err.error().detail()));
        };
    }

    private WebReply ask(WebRequest request) {
        Result<ApplyId, String> id =
                Json.read(request.body(), ConfigMessages.Ask.class).flatMap(ask -> applyId(ask.id()));
        return id.isOk() ? WebReply.json(200, publisher.outcomeOf(id.value())) : malformed(id.error());
    }

    private WebReply behind(WebRequest request) {
        String wanted = request.queryValue("generation").orElse("");
        if (!wanted.matches("[0-9]{1,18}")) {
            return malformed("the query parameter generation must be a number of 1 to 18 digits");
        }
        Generation generation = Generation.of(Long.parseLong(wanted));
        List<ConfigMessages.Lagging> instances = new ArrayList<>();
        if (generation.isAfter(inForce.get().generation())) {
            instances.add(new ConfigMessages.Lagging(
                    instance, inForce.get().manifest().generation()));
        }
        laggingPeers
                .findBehind(generation)
                .forEach(peer -> instances.add(new ConfigMessages.Lagging(
                        peer.instance().value(), peer.generation().value())));
        return WebReply.json(200, new ConfigMessages.Behind(instances));
    }

    private static Result<ApplyId, String> applyId(String text) {
        try {
            return Result.ok(ApplyId.of(text));
        } catch (IllegalArgumentException e) {
            return Result.err(e.getMessage());
        }
    }

    private static WebReply malformed(String detail) {
        return WebReply.json(400, ErrorBody.of("malformed", detail));
    }
}
