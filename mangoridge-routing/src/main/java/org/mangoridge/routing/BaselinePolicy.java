package org.mangoridge.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;

/**
 * The baseline for benchmarks: picks the less loaded of two random servers by their last reports, prefills before it
 * reserves a decode slot and has no admission control.
 */
public final class BaselinePolicy implements RoutingPolicy {

    private static final int MAX_ATTEMPTS = 3;
    private static final int PRIORITY = 0;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private final Map<ServerId, ServerLoad> loads = new HashMap<>();
    private final Map<RequestId, RequestFacts> running = new HashMap<>();
    private Deployment deployment = Deployment.empty();

    private BaselinePolicy(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a policy that draws its choices from {@code random}. */
    public static BaselinePolicy create(RandomGenerator random) {
        return new BaselinePolicy(Checks.notNull(random, "random"));
    }

    @Override
    public List<RoutingAction> on(RoutingEvent event, Duration now) {
        return switch (event) {
            case RoutingEvent.DeploymentAdopted adopted -> {
                deployment = adopted.deployment();
                yield List.of();
            }
            case RoutingEvent.LoadReported reported -> {
                loads.put(reported.server(), reported.load());
                yield List.of();
            }
            case RoutingEvent.RequestArrived arrived -> {
                running.put(arrived.facts().id(), arrived.facts());
                yield place(AttemptId.first(arrived.facts().id()), arrived.facts());
            }
            case RoutingEvent.RequestAbandoned abandoned -> {
                running.remove(abandoned.request());
                yield List.of();
            }
            case RoutingEvent.AttemptEnded ended -> onAttemptEnded(ended);
            case RoutingEvent.LoadReportMissed missed -> List.of();
            case RoutingEvent.PrefillDone done -> List.of();
            case RoutingEvent.FirstTokenSent sent -> List.of();
            case RoutingEvent.ServerLeaving leaving -> List.of();
            case RoutingEvent.PeerInFlight inFlight -> List.of();
            case RoutingEvent.PeerGone gone -> List.of();
            case RoutingEvent.CacheChanged changed -> List.of();
            case RoutingEvent.Tick tick -> List.of();
        };
    }

    private List<RoutingAction> onAttemptEnded(RoutingEvent.AttemptEnded ended) {
        RequestId request = ended.attempt().request();
        RequestFacts facts = running.get(request);
        if (facts == null) {
            return List.of();
        }
        if (ended.outcome() instanceof AttemptOutcome.Failed failed) {
            return ended.attempt().number() < MAX_ATTEMPTS
                    ? place(ended.attempt().next(), facts)
                    : refuse(
                            request,
                            RefusalReason.SERVER_FAILED,
                            failed.verdict(),
                            "the attempts on backend servers failed");
        }
        running.remove(request);
        return List.of();
    }

    private List<RoutingAction> place(AttemptId attempt, RequestFacts facts) {
        List<Server> servers = deployment.serversOf(facts.service());
        List<Server> prefill = servers.stream().filter(s -> s.role().prefills()).toList();
        List<Server> decode = servers.stream().filter(s -> s.role().decodes()).toList();
        if (prefill.isEmpty() || decode.isEmpty()) {
            return refuse(
                    facts.id(),
                    RefusalReason.NO_SERVER,
                    Verdict.NOT_RUN,
                    "the service has no available prefill or decode server");
        }
        Placement placement = new Placement(
                lessLoadedOfTwo(prefill, ServerLoad::prefillQueueTokens),
                lessLoadedOfTwo(decode, ServerLoad::slotsUsed),
                false,
                PRIORITY,
                StageTimeouts.LONGEST);
        return List.of(new RoutingAction.Place(attempt, placement));
    }

    private List<RoutingAction> refuse(RequestId request, RefusalReason reason, Verdict verdict, String detail) {
        running.remove(request);
        Refusal refusal = verdict == Verdict.NOT_RUN
                ? Refusal.notRun(reason, detail, RETRY_AFTER)
                : Refusal.of(reason, verdict, detail);
        return List.of(new RoutingAction.Refuse(request, refusal));
    }

    private ServerId lessLoadedOfTwo(List<Server> servers, ToLongFunction<ServerLoad> measure) {
        ServerId one = servers.get(random.nextInt(servers.size())).id();
        ServerId two = servers.get(random.nextInt(servers.size())).id();
        return load(one, measure) <= load(two, measure) ? one : two;
    }

    private long load(ServerId server, ToLongFunction<ServerLoad> measure) {
        ServerLoad load = loads.get(server);
        return load == null ? 0 : measure.applyAsLong(load);
    }
}
