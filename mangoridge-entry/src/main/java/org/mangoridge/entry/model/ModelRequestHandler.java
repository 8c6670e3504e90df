package org.mangoridge.entry.model;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.prefix.PrefixHashes;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.openai.CompletionFormatter;
import org.mangoridge.entry.openai.ModelRequest;
import org.mangoridge.entry.reply.Replies;
import org.mangoridge.http.Json;
import org.mangoridge.routing.RequestFacts;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.accounting.UsageKey;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.CallerClass;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.settings.deployment.ServiceKind;
import org.mangoridge.web.ClientConnection;
import org.mangoridge.web.StreamSink;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Handles requests for model services. Each request runs on its own thread, which blocks until the answer is sent. */
public final class ModelRequestHandler {

    private static final Refusal CALLER_GONE = Refusal.notRun(RefusalReason.DEADLINE, "the caller disconnected");

    private final RoutingDriver driver;
    private final EngineDirectory engines;
    private final CancelSender cancels;
    private final Owner owner;
    private final Clock clock;
    private final AccountLedger accounts;

    private ModelRequestHandler(
            RoutingDriver driver,
            EngineDirectory engines,
            CancelSender cancels,
            Owner owner,
            Clock clock,
            AccountLedger accounts) {
        this.driver = driver;
        this.engines = engines;
        this.cancels = cancels;
        this.owner = owner;
        this.clock = clock;
        this.accounts = accounts;
    }

    /** Returns a handler; {@code owner} identifies this instance to the engines. */
    public static ModelRequestHandler create(
            RoutingDriver driver,
            EngineDirectory engines,
            CancelSender cancels,
            Owner owner,
            Clock clock,
            AccountLedger accounts) {
        return new ModelRequestHandler(driver, engines, cancels, owner, clock, accounts);
    }

    /**
     * Handles one request.
     *
     * @param id the id of the request
     * @param caller the authenticated caller
     * @param deployment the configuration, the same for the whole request
     * @param web the HTTP request
     * @return the reply, or {@link WebReply.Dropped} if the caller disconnected
     */
    public WebReply handle(RequestId id, Caller caller, Deployment deployment, WebRequest web) {
        Result<ModelRequest, Refusal> parsed = ModelRequest.parse(web.path(), web.body());
        if (!parsed.isOk()) {
            accounts.recordRefusal(caller.id());
            return refuse(id, caller, parsed.error());
        }
        ModelRequest request = parsed.value();
        Service service = deployment
                .service(request.service())
                .filter(found -> found.kind() == ServiceKind.MODEL)
                .orElse(null);
        if (service == null) {
            accounts.recordRefusal(caller.id());
            return refuse(
                    id,
                    caller,
                    Refusal.notRun(
                            RefusalReason.UNKNOWN_SERVICE, "there is no model service named " + request.service()));
        }
        RequestFacts facts = facts(id, caller, deployment, service, request);
        Result<RoutingDriver.PlacedAttempt, Refusal> decision =
                await(facts, web.connection(), driver.requestArrived(facts), Verdict.NOT_RUN);
        return switch (decision) {
            case Result.Err<RoutingDriver.PlacedAttempt, Refusal> err
            when web.connection().isClosed() -> {
                accounts.recordAbandoned(caller.id(), 0);
                yield new WebReply.Dropped();
            }
            case Result.Err<RoutingDriver.PlacedAttempt, Refusal> err -> {
                accounts.recordRefusal(usageKey(facts), err.error().reason());
                yield refuse(id, caller, err.error());
            }
            case Result.Ok<RoutingDriver.PlacedAttempt, Refusal> ok ->
                new Exchange(facts, request, deployment, service, web).answer(ok.value());
        };
    }

    private RequestFacts facts(
            RequestId id, Caller caller, Deployment deployment, Service service, ModelRequest request) {
        CallerClass callerClass = deployment.callerClass(caller.callerClass()).orElseThrow();
        Duration now = clock.elapsed();
        return new RequestFacts(
                id,
                caller,
                callerClass,
                service.id(),
                request.promptTokens(),
                request.maxTokens(),
                PrefixHashes.of(request.prompt()),
                now,
                now.plus(service.timeout()));
    }

    /**
     * Waits for a decision of routing until the deadline of the request.
     *
     * <p>If the caller disconnects, the wait ends and routing drops the request.
     *
     * @param verdictSoFar whether work for the request has run so far
     */
    private Result<RoutingDriver.PlacedAttempt, Refusal> await(
            RequestFacts facts,
            ClientConnection connection,
            CompletableFuture<Result<RoutingDriver.PlacedAttempt, Refusal>> decision,
            Verdict verdictSoFar) {
        connection.onClose(() -> {
            if (decision.complete(Result.err(CALLER_GONE))) {
                driver.post(new RoutingEvent.RequestAbandoned(facts.id()));
            }
        });
        Duration remaining = facts.deadline().minus(clock.elapsed());
        try {
            return decision.get(Math.max(1, remaining.toMillis()), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            driver.post(new RoutingEvent.RequestAbandoned(facts.id()));
            return Result.err(Refusal.of(
                    RefusalReason.DEADLINE, verdictSoFar, "the deadline passed while the request was queued"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            driver.post(new RoutingEvent.RequestAbandoned(facts.id()));
            return Result.err(Refusal.of(RefusalReason.DRAINING, verdictSoFar, "the instance is shutting down"));
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private static UsageKey usageKey(RequestFacts facts) {
        return new UsageKey(facts.caller().id(), facts.callerClass().id(), facts.service());
    }

    private WebReply refuse(RequestId id, Caller caller, Refusal refusal) {
        EventLog.write(
                LogEvent.REQUEST_REFUSED,
                Field.of("request", id),
                Field.of("caller", caller.id()),
                Field.of("reason", refusal.reason().code()),
                Field.of("verdict", refusal.verdict().text()));
        return Replies.refusal(id, refusal);
    }

    /** The handling of one request from its first placement on. */
    private final class Exchange {

        private final RequestFacts facts;
        private final ModelRequest request;
        private final CompletionFormatter formatter;
        private final WebRequest web;
        private final AttemptContext context;
        private Verdict worstVerdict = Verdict.NOT_RUN;

        private Exchange(
                RequestFacts facts, ModelRequest request, Deployment deployment, Service service, WebRequest web) {
            this.facts = facts;
            this.request = request;
            this.web = web;
            this.context = new AttemptContext(
                    engines, cancels, accounts, usageKey(facts), owner, deployment, service, request);
            this.formatter = new CompletionFormatter(
                    facts.id(), service.id(), request.chat(), clock.now().getEpochSecond());
        }

        /**
         * Generates the answer.
         *
         * <p>The status of a streamed answer is sent only after the first token, so that a request that fails earlier
         * gets the status of its refusal.
         */
        private WebReply answer(RoutingDriver.PlacedAttempt firstAttempt) {
            TokenGeneration generation = new TokenGeneration(context, driver, firstAttempt, (attempt, failed) -> {
                worstVerdict = worstVerdict.worse(failed.outputTokens() > 0 ? Verdict.RAN : failed.verdict());
                return await(facts, web.connection(), driver.attemptFailed(attempt, failed), worstVerdict);
            });
            web.connection().onClose(generation::callerGone);
            TokenGeneration.Step step = generation.next();
            if (step instanceof TokenGeneration.Token token && request.stream()) {
                return WebReply.events(Replies.servedHeaders(facts.id()), sink -> stream(generation, token, sink));
            }
            while (step instanceof TokenGeneration.Token && !web.connection().isClosed()) {
                step = generation.next();
            }
            return switch (step) {
                case TokenGeneration.Token token -> {
                    abandon(generation);
                    yield new WebReply.Dropped();
                }
                case TokenGeneration.Completed completed -> completion(generation, completed.finishReason());
                case TokenGeneration.CallerDisconnected disconnected -> {
                    recordAbandoned(generation);
                    yield new WebReply.Dropped();
                }
                case TokenGeneration.Refused refused -> {
                    accounts.recordRefusal(usageKey(facts), refused.refusal().reason());
                    yield refuse(facts.id(), facts.caller(), refused.refusal());
                }
            };
        }

        private WebReply completion(TokenGeneration generation, String finishReason) {
            recordServed(generation);
            return WebReply.json(
                    200,
                    Replies.servedHeaders(facts.id()),
                    formatter.completion(
                            generation.text(), finishReason, request.promptTokens(), generation.outputTokens()));
        }

        private void stream(TokenGeneration generation, TokenGeneration.Token first, StreamSink sink) {
            TokenGeneration.Step step = first;
            while (step instanceof TokenGeneration.Token token) {
                if (web.connection().isClosed() || !sink.writeEvent(formatter.chunk(token.text()))) {
                    abandon(generation);
                    sink.abort();
                    return;
                }
                step = generation.next();
            }
            if (step instanceof TokenGeneration.CallerDisconnected) {
                recordAbandoned(generation);
                sink.abort();
                return;
            }
            if (step instanceof TokenGeneration.Refused refused) {
                accounts.recordRefusal(usageKey(facts), refused.refusal().reason());
                Refusal streamRefusal = Refusal.of(
                        refused.refusal().reason(),
                        Verdict.RAN,
                        refused.refusal().detail());
                sink.writeEvent(Json.text(Replies.errorBody(facts.id(), streamRefusal)));
                return;
            }
            recordServed(generation);
            sink.writeEvent(formatter.finalChunk(((TokenGeneration.Completed) step).finishReason()));
            sink.writeEvent(CompletionFormatter.END_OF_STREAM);
        }

        private void recordServed(TokenGeneration generation) {
            accounts.recordServed(facts.caller().id(), request.promptTokens(), generation.outputTokens());
        }

        private void abandon(TokenGeneration generation) {
            generation.abandon();
            recordAbandoned(generation);
        }

        private void recordAbandoned(TokenGeneration generation) {
            accounts.recordAbandoned(facts.caller().id(), generation.outputTokens());
            EventLog.write(LogEvent.CALLER_GONE, Field.of("request", facts.id()));
        }
    }
}
