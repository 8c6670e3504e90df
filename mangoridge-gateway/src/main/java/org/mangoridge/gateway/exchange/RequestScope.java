package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.balance.DrainAdmission;
import org.mangoridge.dispatch.balance.EnginePlacement;
import org.mangoridge.dispatch.config.Route;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.quota.QuotaDecision;
import org.mangoridge.dispatch.request.Attempt;
import org.mangoridge.dispatch.request.CallerRequest;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.dispatch.request.ServerReply;
import org.mangoridge.dispatch.workspace.CallerAccess;
import org.mangoridge.dispatch.workspace.Workspace;
import org.mangoridge.gateway.net.CallerExchange;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamRequest;

/** The state of one request while it is served: its route, its deadline and whether it may have been executed. */
final class RequestScope {

    /** When callers may repeat a request that crashes servers; its quarantine lasts for minutes. */
    private static final Duration QUARANTINE_RETRY_AFTER = Duration.ofSeconds(60);

    static final String DRAINING_DETAIL = "the instance is shutting down; retry at another instance";

    private final GatewayContext context;
    private final CallerExchange exchange;
    private final Route route;
    private final ServiceId service;
    private final boolean streamed;
    private final CallerRequest caller;
    private final CallerAccess access;
    private final RequestIdentity identity;
    private final long configVersion;
    private final Duration started;
    private final Duration deadline;
    private boolean streamBegun;
    private final RequestGuard guard;
    private Verdict verdict = Verdict.NOT_RUN;
    private int runs;
    private int sends;
    /** What the request was charged to the quota of its workspace. */
    private long chargedUnits;
    /** The newest call to a server; null before. */
    private UpstreamCall lastCall;

    private Optional<Boolean> answerNamed = Optional.empty();

    RequestScope(
            GatewayContext context,
            CallerExchange exchange,
            Route route,
            ServiceId service,
            boolean streamed,
            CallerRequest caller,
            CallerAccess access,
            long configVersion) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.streamed = streamed;
        this.caller = caller;
        this.access = access;
        this.identity = RequestIdentity.of(exchange.request(), caller.sharedParts());
        this.configVersion = configVersion;
        this.started = context.now();
        this.guard = new RequestGuard(context, this);
        Duration callerTimeout = caller.timeout().orElse(route.timeout());
        Duration timeout = callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
        this.deadline = arrived().plus(timeout);
    }

    RequestGuard guard() {
        return guard;
    }

    CallerExchange exchange() {
        return exchange;
    }

    Route route() {
        return route;
    }

    ServiceId service() {
        return service;
    }

    CallerRequest caller() {
        return caller;
    }

    CallerAccess access() {
        return access;
    }

    /** Returns the priority of the request, 0 is the highest; that of its workspace precedes that of its route. */
    int priority() {
        return access.membership()
                .map(Workspace::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    RequestIdentity identity() {
        return identity;
    }

    Duration arrived() {
        return exchange.request().arrived();
    }

    Duration deadline() {
        return deadline;
    }

    Duration remainingTime() {
        return deadline.minus(context.now());
    }

    Duration age() {
        return context.now().minus(arrived());
    }

    Verdict verdict() {
        return verdict;
    }

    /** Records whether a server may have executed the request; called once at the end of each attempt. */
    void recordOutcome(Verdict outcome) {
        if (outcome != Verdict.NOT_RUN) {
            runs++;
        }
        verdict = verdict.worse(outcome);
    }

    /** Returns the number of servers that may have executed the request. */
    int runs() {
        return runs;
    }

    /** Records that the request is sent to a server. */
    void recordSend() {
        sends++;
    }

    /** Returns the number of times that the request was sent to a server. */
    int sends() {
        return sends;
    }

    /** Records the call of an attempt, for the log. */
    void recordCall(UpstreamCall call) {
        lastCall = call;
        answerNamed = Optional.empty();
    }

    /** Records the head of the answer to the newest call, for the log. */
    void recordHead(ServerReply reply) {
        answerNamed = Optional.of(reply.request().isPresent());
    }

    /** Adds what the connection of the newest call had been used for, and whether its answer named its request. */
    private void addConnection(List<Field> fields) {
        if (lastCall != null) {
            fields.add(Field.of("connection_calls", lastCall.connectionUse().earlierCalls()));
            fields.add(Field.of("connection_idle_ms", lastCall.connectionUse().idle()));
            answerNamed.ifPresent(named -> fields.add(Field.of("answer_named", named)));
        }
    }

    /** Returns the request to send to a server for an attempt. */
    UpstreamRequest upstreamRequest(
            org.mangoridge.core.net.HostPort address, Attempt attempt, Duration maxIdle, Duration connectTimeout) {
        HttpHeaders headers = ForwardHeaders.ofRequest(exchange.request().headers(), context.dialect());
        context.dialect().writeAttempt(headers, attempt);
        ByteBuf body = exchange.request().body();
        return new UpstreamRequest(
                Optional.of(caller.id()),
                address,
                exchange.request().method(),
                exchange.request().uri(),
                headers,
                body,
                maxIdle,
                connectTimeout);
    }

    /** Records that the first event of a stream has come. */
    void recordFirstEvent() {
        streamBegun = true;
        Duration now = context.now();
        context.admission().servingTimes().recordFirstEvent(service, now.minus(started), now);
    }

    private void recordServingTime() {
        if (!streamBegun) {
            Duration now = context.now();
            context.admission().servingTimes().recordPlain(route, now.minus(started), now);
        }
    }

    /** Returns whether the instance shuts down before the request would end if it were sent to a server now. */
    boolean isTooLate() {
        return !context.admission().admits(admissionRequest(), context.now());
    }

    /** Returns whether the instance shuts down before the stream would end if its first event came now. */
    boolean isTooLateToBegin() {
        return !context.admission().admitsFirstEvent(admissionRequest(), context.now());
    }

    private DrainAdmission.Request admissionRequest() {
        return new DrainAdmission.Request(route, service, streamed, caller.tokens(), started, deadline);
    }

    /** Refuses the request if the instance shuts down before it would end; returns whether it was refused. */
    boolean refuseIfTooLate() {
        boolean late = isTooLate();
        if (late) {
            refuseDraining();
        }
        return late;
    }

    /** Charges the request to its workspace, or refuses it if it exceeds the quota; returns whether it was refused. */
    boolean refuseIfOverQuota() {
        Optional<QuotaDecision> decision = access.membership()
                .map(workspace -> context.quotas().ask(workspace, caller.tokens(), route.priority(), context.now()));
        if (decision.isEmpty()) {
            return false;
        }
        return switch (decision.get()) {
            case QuotaDecision.Granted granted -> {
                chargedUnits = granted.units();
                yield false;
            }
            case QuotaDecision.Exceeded exceeded -> {
                refuse(
                        RefusalReason.QUOTA_EXCEEDED,
                        "the workspace asks for more than its quota; retry later",
                        Optional.of(exceeded.retryAfter()),
                        Field.of("units", exceeded.units()),
                        Field.of("granted_share", exceeded.grantedShare()));
                yield true;
            }
        };
    }

    /** Takes the charge of a request back that will not be sent any more, unless it may have run. */
    void refundQuota() {
        if (chargedUnits > 0 && verdict == Verdict.NOT_RUN) {
            access.workspaceId().ifPresent(id -> context.quotas().refund(id, chargedUnits, context.now()));
            chargedUnits = 0;
        }
    }

    /** Ends the response after a defect, unless it has ended: by a refusal, or visibly incomplete if it has begun. */
    void endAfterDefect() {
        if (exchange.responseStarted()) {
            exchange.abort();
        } else {
            refuse(RefusalReason.INTERNAL, "internal error of the instance", Optional.empty());
        }
    }

    /** Refuses the request because the instance shuts down; its verdict tells whether it may have run. */
    void refuseDraining() {
        refuse(RefusalReason.DRAINING, DRAINING_DETAIL, Optional.of(Duration.ZERO));
    }

    /** Refuses the request because it, or a part of its prompt, crashes servers. */
    void refuseQuarantined(RequestPart part) {
        refuse(
                RefusalReason.QUARANTINED,
                "the request, or a part of its prompt, has crashed several backend servers",
                Optional.of(QUARANTINE_RETRY_AFTER),
                Field.of("part", part));
    }

    /** Refuses the request and logs the reason. */
    void refuse(RefusalReason reason, String detail, Optional<Duration> retryAfter, Field... inputs) {
        boolean begun = exchange.responseStarted();
        Refusal refusal =
                new Refusal(reason, verdict, detail, verdict == Verdict.NOT_RUN ? retryAfter : Optional.empty());
        HttpResponseStatus status =
                new RefusalWriter(context.dialect()).refuse(exchange, Optional.of(caller.id()), refusal);
        context.metrics().countRefusal(reason);
        refundQuota();
        if (reason == RefusalReason.DEADLINE) {
            recordServingTime();
        }
        List<Field> fields = new ArrayList<>(List.of(inputs));
        fields.add(Field.of("reason", reason.code()));
        fields.add(Field.of("verdict", verdict.text()));
        fields.add(Field.of("status", status.code()));
        fields.add(Field.of("begun", begun));
        fields.add(Field.of("detail", detail));
        fields.addAll(withheldFields(List.of()));
        fields.addAll(shutdownFields());
        refusal.retryAfter().ifPresent(after -> fields.add(Field.of("retry_after_ms", after)));
        log(LogEvent.REQUEST_REFUSED, fields.toArray(Field[]::new));
    }

    /** Logs the two servers of a model request. */
    void logPlaced(EnginePlacement.Split split) {
        logPlaced(
                List.of(split.prefill(), split.decode()),
                Field.of("prefill", split.prefill().id()),
                Field.of("server", split.decode().id()),
                Field.of("first_token_ms", split.firstToken()),
                Field.of(
                        "prefill_load",
                        context.loads().total(split.prefill().id()).prefillTokens()),
                Field.of("server_kv", context.loads().total(split.decode().id()).kvTokens()),
                unreportedField(split.decode()));
    }

    /** Logs the one server of a model request. */
    void logPlaced(EnginePlacement.Direct direct) {
        logPlaced(
                List.of(direct.decode()),
                Field.of("server", direct.decode().id()),
                Field.of("first_token_ms", direct.firstToken()),
                Field.of(
                        "server_kv", context.loads().total(direct.decode().id()).kvTokens()),
                unreportedField(direct.decode()));
    }

    private Field unreportedField(ServerEntry server) {
        return Field.of(
                "server_unreported", Math.round(context.loads().unreportedRequests(server.id(), context.now())));
    }

    /** Returns fields that tell how many servers of the service may be sent nothing now, or are paced. */
    private List<Field> withheldFields(List<ServerEntry> chosen) {
        List<ServerEntry> servers = context.directory().usable(service);
        List<Field> fields = new ArrayList<>(context.calls().limitFields(chosen, servers));
        long backedOff = servers.stream()
                .filter(server -> context.serverHealth()
                        .backOffRemaining(server, context.now())
                        .isPositive())
                .count();
        if (backedOff > 0) {
            fields.add(Field.of("backed_off", backedOff));
        }
        long paced = servers.stream()
                .filter(server -> context.serverPace().isPaced(server.id()))
                .count();
        if (paced > 0) {
            fields.add(Field.of("paced", paced));
        }
        return fields;
    }

    /** Returns fields that tell how much time a shutdown leaves the request; none before the shutdown. */
    private List<Field> shutdownFields() {
        List<Field> fields = new ArrayList<>();
        context.admission().outlook(admissionRequest(), context.now()).ifPresent(outlook -> {
            fields.add(Field.of("draining_ms", outlook.sinceSignal()));
            fields.add(Field.of("left_ms", outlook.left()));
            outlook.expected().ifPresent(expected -> fields.add(Field.of("expected_ms", expected)));
        });
        return fields;
    }

    /** Logs where the request goes, and how limits bear on that. */
    void logPlaced(List<ServerEntry> chosen, Field... inputs) {
        List<Field> fields = new ArrayList<>(List.of(inputs));
        fields.addAll(withheldFields(chosen));
        fields.addAll(shutdownFields());
        log(LogEvent.REQUEST_PLACED, fields.toArray(Field[]::new));
    }

    /** Logs an event with the fields that identify the request. */
    void log(LogEvent event, Field... inputs) {
        List<Field> fields = new ArrayList<>();
        fields.add(Field.of("request", caller.id()));
        fields.add(Field.of("route", route.name()));
        fields.add(Field.of("service", service));
        fields.add(Field.of("config", configVersion));
        fields.add(Field.of("age_ms", age()));
        fields.add(Field.of("sends", sends));
        access.workspaceId().ifPresent(workspace -> fields.add(Field.of("workspace", workspace)));
        fields.addAll(List.of(inputs));
        context.log().log(event, fields.toArray(Field[]::new));
    }

    /** Logs that the caller saw its stream end before it was complete. */
    void logCut(String cause, OptionalLong lastEvent) {
        List<Field> fields = new ArrayList<>();
        fields.add(Field.of("cause", cause));
        fields.add(Field.of("last_event", lastEvent));
        fields.add(Field.of("expected_output", caller.tokens().expectedOutput()));
        fields.addAll(shutdownFields());
        log(LogEvent.STREAM_CUT, fields.toArray(Field[]::new));
    }

    /** Logs that an attempt at a server produced no response that can be forwarded. */
    void logAttemptFailed(ServerId server, String detail, Field... inputs) {
        List<Field> fields = new ArrayList<>(List.of(inputs));
        fields.add(Field.of("server", server));
        fields.add(Field.of("verdict", verdict.text()));
        fields.add(Field.of("detail", detail));
        if (verdict != Verdict.NOT_RUN) {
            fields.add(Field.of("fingerprint", identity.fingerprint()));
        }
        addConnection(fields);
        log(LogEvent.ATTEMPT_FAILED, fields.toArray(Field[]::new));
    }

    /** Records and logs that the caller has received the final response of a server. */
    void logAnswered(ServerId server, int status, Field... details) {
        recordServingTime();
        boolean onTime = age().compareTo(route.latencyTarget()) <= 0;
        context.metrics().count(onTime ? "answered.on_time" : "answered.late");
        context.metrics().recordLatency("latency." + (route.streaming() ? "stream" : "plain"), age());
        List<Field> fields = new ArrayList<>(List.of(details));
        fields.add(Field.of("server", server));
        fields.add(Field.of("status", status));
        addConnection(fields);
        log(LogEvent.REQUEST_ANSWERED, fields.toArray(Field[]::new));
    }
}
