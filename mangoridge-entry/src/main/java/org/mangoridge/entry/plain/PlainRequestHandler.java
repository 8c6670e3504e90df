package org.mangoridge.entry.plain;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.plain.PlainService;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.reply.Replies;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.settings.deployment.ServiceKind;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/**
 * Forwards calls to plain services and blocks until the answer; runs on the request's own thread.
 *
 * <p>A call that is not idempotent is executed at most once. If it carries an idempotency key, its answer is
 * recorded in the platform, and a retry at any instance receives the recorded answer.
 */
public final class PlainRequestHandler {

    /** The prefix of the paths of plain services, {@code /services/SERVICE/PATH}. */
    public static final String PATH_PREFIX = "/services/";

    /** The request header that identifies a call across retries. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final ServerCalls serverCalls;
    private final ClaimedCalls claimedCalls;
    private final AccountLedger accounts;

    private PlainRequestHandler(ServerCalls serverCalls, ClaimedCalls claimedCalls, AccountLedger accounts) {
        this.serverCalls = serverCalls;
        this.claimedCalls = claimedCalls;
        this.accounts = accounts;
    }

    /**
     * Returns a handler.
     *
     * @param claimedCalls executes calls that carry an idempotency key
     * @param retries the token bucket that limits retries at other servers
     * @param random selects servers; must be safe for use by several threads
     */
    public static PlainRequestHandler create(
            PlainService plain,
            ClaimedCalls claimedCalls,
            TokenBucket retries,
            RandomGenerator random,
            AccountLedger accounts) {
        return new PlainRequestHandler(new ServerCalls(plain, random, retries), claimedCalls, accounts);
    }

    /** Handles one call of {@code caller} under the configuration {@code deployment}. */
    public WebReply handle(RequestId id, Caller caller, Deployment deployment, WebRequest web) {
        PlainTarget target = PlainTarget.of(web);
        Optional<Service> service = target.service().isBlank()
                ? Optional.empty()
                : deployment.service(ServiceId.of(target.service())).filter(found -> found.kind() == ServiceKind.PLAIN);
        if (service.isEmpty()) {
            return refuse(
                    id,
                    caller,
                    Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, "no plain service is named " + target.service()));
        }
        List<Server> servers = deployment.serversOf(service.get().id());
        if (servers.isEmpty()) {
            return refuse(
                    id,
                    caller,
                    Refusal.notRun(RefusalReason.NO_SERVER, "no backend server is configured for the service"));
        }
        return switch (call(id, caller, service.get(), servers, target, web)) {
            case Result.Ok<ClaimedCalls.ServiceAnswer, Refusal> ok -> answer(id, caller, ok.value());
            case Result.Err<ClaimedCalls.ServiceAnswer, Refusal> err -> refuse(id, caller, err.error());
        };
    }

    private Result<ClaimedCalls.ServiceAnswer, Refusal> call(
            RequestId id, Caller caller, Service service, List<Server> servers, PlainTarget target, WebRequest web) {
        AttemptId attempt = AttemptId.first(id);
        Optional<String> key = web.headers().value(IDEMPOTENCY_KEY_HEADER);
        if (key.isPresent() && !service.isIdempotent(web.method(), target.path())) {
            return claimedCalls.call(
                    attempt,
                    caller.id(),
                    service,
                    key.get(),
                    target,
                    web,
                    () -> serverCalls.send(attempt, service, servers, target, web));
        }
        return switch (serverCalls.send(attempt, service, servers, target, web)) {
            case Result.Ok<HttpAnswer, EngineError> ok -> Result.ok(ClaimedCalls.ServiceAnswer.of(ok.value()));
            case Result.Err<HttpAnswer, EngineError> err -> Result.err(toRefusal(err.error()));
        };
    }

    private static Refusal toRefusal(EngineError error) {
        Verdict verdict = error.verdict();
        String detail = verdict == Verdict.NOT_RUN
                ? "the backend server could not be reached"
                : "the backend server's answer was lost";
        return Refusal.of(RefusalReason.SERVER_FAILED, verdict, detail);
    }

    private WebReply answer(RequestId id, Caller caller, ClaimedCalls.ServiceAnswer served) {
        accounts.recordServed(caller.id(), 0, 0);
        Headers headers =
                Replies.servedHeaders(id).with("Content-Type", served.answer().contentType());
        return new WebReply.Buffered(
                served.answer().status(),
                served.replayed() ? headers.with(REPLAYED_HEADER, "true") : headers,
                served.answer().body());
    }

    private WebReply refuse(RequestId id, Caller caller, Refusal refusal) {
        accounts.recordRefusal(caller.id());
        return Replies.refusal(id, refusal);
    }
}
