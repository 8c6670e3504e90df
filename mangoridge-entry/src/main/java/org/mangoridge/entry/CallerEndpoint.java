package org.mangoridge.entry;

import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.entry.auth.CallerAuthenticator;
import org.mangoridge.entry.config.ConfigInForce;
import org.mangoridge.entry.lifecycle.DrainPhase;
import org.mangoridge.entry.model.ModelRequestHandler;
import org.mangoridge.entry.openai.ModelRequest;
import org.mangoridge.entry.plain.PlainRequestHandler;
import org.mangoridge.entry.reply.Replies;
import org.mangoridge.entry.reply.RequestIdGenerator;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Answers callers: finds out who asks and hands the request on under one configuration. */
final class CallerEndpoint implements WebHandler {

    private final RequestIdGenerator ids;
    private final Supplier<ConfigInForce> config;
    private final Supplier<DrainPhase> phase;
    private final ModelRequestHandler models;
    private final PlainRequestHandler plain;

    CallerEndpoint(
            RequestIdGenerator ids,
            Supplier<ConfigInForce> config,
            Supplier<DrainPhase> phase,
            ModelRequestHandler models,
            PlainRequestHandler plain) {
        this.ids = ids;
        this.config = config;
        this.phase = phase;
        this.models = models;
        this.plain = plain;
    }

    @Override
    public WebReply handle(WebRequest web) {
        WebReply reply = answer(web);
        return phase.get() == DrainPhase.SERVING ? reply : reply.withHeader("Connection", "close");
    }

    private WebReply answer(WebRequest web) {
        RequestId id = ids.next();
        if (!phase.get().takesRequests()) {
            return Replies.refusal(id, Refusal.notRun(RefusalReason.DRAINING, "the instance is shutting down"));
        }
        ConfigInForce inForce = config.get();
        if (!inForce.isAdopted()) {
            return Replies.refusal(
                    id, Refusal.notRun(RefusalReason.NOT_READY, "the instance has no configuration yet"));
        }
        Deployment deployment = inForce.deployment();
        Optional<Caller> caller = CallerAuthenticator.authenticate(web.headers(), deployment);
        if (caller.isEmpty()) {
            return Replies.refusal(
                    id, Refusal.notRun(RefusalReason.BAD_KEY, "the key is missing or unknown: Bearer CALLER.SECRET"));
        }
        if (web.path().startsWith(PlainRequestHandler.PREFIX)) {
            return plain.handle(id, caller.get(), deployment, web);
        }
        if (web.is("POST", ModelRequest.COMPLETIONS_PATH) || web.is("POST", ModelRequest.CHAT_COMPLETIONS_PATH)) {
            return models.handle(id, caller.get(), deployment, web);
        }
        return Replies.refusal(
                id, Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, "nothing is served at this method and path"));
    }

    @Override
    public WebReply rejectOversizedBody(WebRequest head, int maxBodyBytes) {
        String detail = "the body may have at most " + maxBodyBytes + " bytes";
        return Replies.refusal(ids.next(), Refusal.notRun(RefusalReason.TOO_LARGE, detail));
    }
}
