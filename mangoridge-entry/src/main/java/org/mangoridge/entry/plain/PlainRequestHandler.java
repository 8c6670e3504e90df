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
 * Passes calls to plain services; called on the request's own thread.
 *
 * <p>A call that may not be repeated is sent once; with an idempotency key it is made under a claim, so that a retry at
 * any instance gets the recorded answer.
 */
public final class PlainRequestHandler {

    /** Calls go to {@code /services/SERVICE/PATH}. */
    public static final String PREFIX = "/services/";

    /** Names the call that a caller may send again. */
    public static final String KEY_HEADER = "Idempotency-Key";

    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final ServerCalls calls;
    private final ClaimedCalls claimed;
    private final AccountLedger accounts;

    private PlainRequestHandler(ServerCalls calls, ClaimedCalls claimed, AccountLedger accounts) {
        this.calls = calls;
        this.claimed = claimed;
        this.accounts = accounts;
    }

    /**
     * Returns a handler.
     *
     * @param claimed makes calls with an idempotency key
     * @param retries the budget of calls that are sent to another server
     * @param random chooses servers; safe for use by several threads
     */
    public static PlainRequestHandler create(
            PlainService plain,
            ClaimedCalls claimed,
            TokenBucket retries,
            RandomGenerator random,
            AccountLedger accounts) {
        return new PlainRequestHandler(new ServerCalls(plain, random, retries), claimed, accounts);
    }

    /** Answers one call of {@code caller} under one configuration. */
    public WebReply handle(RequestId id, Caller caller, Deployment deployment, WebRequest web) {
        PlainTarget target = PlainTarget.of(web);
        Optional<Service> service = target.service().isBlank()
                ? Optional.empty()
                : deployment.service(ServiceId.of(target.service())).filter(found -> found.kind() == ServiceKind.PLAIN);
        if (service.isEmpty()) {
            return refuse(
                    id,
                    caller,
                    Refusal.notRun(
                            RefusalReason.UNKNOWN_SERVICE, "there is no plain service named " + target.service()));
        }
        List<Server> servers = deployment.serversOf(service.get().id());
        if (servers.isEmpty()) {
            return refuse(id, caller, Refusal.notRun(RefusalReason.NO_SERVER, "the service has no server"));
        }
        return switch (call(id, caller, service.get(), servers, target, web)) {
            case Result.Ok<ClaimedCalls.Served, Refusal> ok -> answer(id, caller, ok.value());
            case Result.Err<ClaimedCalls.Served, Refusal> err -> refuse(id, caller, err.error());
        };
    }

    private Result<ClaimedCalls.Served, Refusal> call(
            RequestId id, Caller caller, Service service, List<Server> servers, PlainTarget target, WebRequest web) {
        AttemptId attempt = AttemptId.first(id);
        Optional<String> key = web.headers().value(KEY_HEADER);
        if (key.isPresent() && !service.isIdempotent(web.method(), target.path())) {
            return claimed.call(
                    attempt,
                    caller.id(),
                    service,
                    key.get(),
                    target,
                    web,
                    () -> calls.send(attempt, service, servers, target, web));
        }
        return switch (calls.send(attempt, service, servers, target, web)) {
            case Result.Ok<HttpAnswer, EngineError> ok -> Result.ok(ClaimedCalls.Served.of(ok.value()));
            case Result.Err<HttpAnswer, EngineError> err -> Result.err(failed(err.error()));
        };
    }

    private static Refusal failed(EngineError error) {
        Verdict verdict = error.verdict();
        String detail = verdict == Verdict.NOT_RUN
                ? "the backend server could not be reached"
                : "the backend server's answer was lost";
        return Refusal.of(RefusalReason.SERVER_FAILED, verdict, detail);
    }

    private WebReply answer(RequestId id, Caller caller, ClaimedCalls.Served served) {
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
