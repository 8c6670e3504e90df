package org.mangoridge.entry.plain;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.plain.PlainCall;
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

/** Passes calls to plain services, each at most once; called on the request's own thread. */
public final class PlainRequestHandler {

    /** Calls go to {@code /services/SERVICE/PATH}. */
    public static final String PREFIX = "/services/";

    private static final List<String> PASSED_HEADERS = List.of("Content-Type", "Accept", "Idempotency-Key");

    private final PlainService plain;
    private final RandomGenerator random;
    private final AccountLedger accounts;

    private PlainRequestHandler(PlainService plain, RandomGenerator random, AccountLedger accounts) {
        this.plain = plain;
        this.random = random;
        this.accounts = accounts;
    }

    /** Returns a handler that chooses servers with {@code random}, which must be safe for several threads. */
    public static PlainRequestHandler create(PlainService plain, RandomGenerator random, AccountLedger accounts) {
        return new PlainRequestHandler(plain, random, accounts);
    }

    /** Answers one call of {@code caller} under one configuration. */
    public WebReply handle(RequestId id, Caller caller, Deployment deployment, WebRequest web) {
        String rest = web.path().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Service service = name.isBlank()
                ? null
                : deployment
                        .service(ServiceId.of(name))
                        .filter(found -> found.kind() == ServiceKind.PLAIN)
                        .orElse(null);
        if (service == null) {
            return refuse(
                    id,
                    caller,
                    Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, "there is no plain service named " + name));
        }
        List<Server> servers = deployment.serversOf(service.id());
        if (servers.isEmpty()) {
            return refuse(id, caller, Refusal.notRun(RefusalReason.NO_SERVER, "the service has no server"));
        }
        Server server = servers.get(random.nextInt(servers.size()));
        PlainCall call = new PlainCall(
                AttemptId.first(id),
                server.address(),
                web.method(),
                path,
                passedHeaders(web.headers()),
                web.body(),
                service.timeout());
        return switch (plain.call(call)) {
            case Result.Ok<HttpAnswer, EngineError> ok -> answer(id, caller, ok.value());
            case Result.Err<HttpAnswer, EngineError> err -> failed(id, caller, server, err.error());
        };
    }

    private WebReply answer(RequestId id, Caller caller, HttpAnswer answer) {
        accounts.served(caller.id(), 0, 0);
        Headers headers = Replies.served(id);
        String type = answer.headers().value("Content-Type").orElse("application/octet-stream");
        return new WebReply.Whole(answer.status(), headers.with("Content-Type", type), answer.body());
    }

    private WebReply failed(RequestId id, Caller caller, Server server, EngineError error) {
        EventLog.write(
                LogEvent.ATTEMPT_FAILED,
                Field.of("request", id),
                Field.of("server", server.id()),
                Field.of("detail", error.detail()));
        Verdict verdict = error.verdict();
        String detail = verdict == Verdict.NOT_RUN
                ? "the backend server could not be reached"
                : "the backend server's answer was lost";
        return refuse(id, caller, Refusal.of(RefusalReason.SERVER_FAILED, verdict, detail));
    }

    private WebReply refuse(RequestId id, Caller caller, Refusal refusal) {
        accounts.refused(caller.id());
        return Replies.refused(id, refusal);
    }

    private static Headers passedHeaders(Headers headers) {
        Map<String, String> passed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : PASSED_HEADERS) {
            headers.value(name).ifPresent(value -> passed.put(name, value));
        }
        return Headers.copyOf(passed);
    }
}
