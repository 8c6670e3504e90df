package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.Server;

/** Drives a policy on virtual time and keeps what its servers hold, so that tests can report their load. */
final class RoutingFixture {

    static final int SLOTS = 20;
    static final int PIECES = 160;
    static final long PREFILL_RATE = 20_000;
    static final String KEY_HASH = "00".repeat(8) + ":" + "00".repeat(32);

    private static final String SERVICES = """
            [service drafts]
            kind = model
            model = chalk-llm
            version = 1
            [class counter]
            first-token = 340ms
            per-token = 39ms
            [class tender]
            first-token = 340ms
            per-token = 60ms
            can-wait = yes
            max-wait = 10s
            """;

    private final VirtualClock clock = VirtualClock.create();
    private final RoutingPolicy policy;
    private final Map<ServerId, Set<AttemptId>> held = new LinkedHashMap<>();
    private final Map<ServerId, Integer> heldByOthers = new LinkedHashMap<>();
    private final Map<ServerId, Long> prefillQueues = new LinkedHashMap<>();
    private final Map<AttemptId, Placement> placements = new LinkedHashMap<>();
    private final StringBuilder config = new StringBuilder(SERVICES);
    private Deployment deployment = Deployment.empty();
    private int lastRequest;

    RoutingFixture(PolicyName name, long seed) {
        policy = RoutingPolicies.create(name, AvailabilityZone.of("a"), new SplittableRandom(seed));
    }

    static RoutingFixture current(long seed) {
        return new RoutingFixture(PolicyName.CURRENT, seed);
    }

    RoutingFixture server(String name, String role, String zone) {
        config.append("[server %s]\naddress = 10.0.0.1:%d\nzone = %s\nrole = %s\nservice = drafts\n"
                .formatted(name, 1000 + held.size(), zone, role));
        held.put(ServerId.of(name), new HashSet<>());
        return this;
    }

    RoutingFixture caller(String name, String callerClass, String workspace) {
        config.append("[caller %s]\nkey-hash = %s\nclass = %s\nworkspace = %s\n"
                .formatted(name, KEY_HASH, callerClass, workspace));
        return this;
    }

    /** Adopts the configuration and reports every server as idle. */
    RoutingFixture adopt() {
        adoptWithoutReports();
        reportAll();
        return this;
    }

    RoutingFixture adoptWithoutReports() {
        deployment = DeploymentParser.parseText("test.ini", config.toString()).value();
        tell(new RoutingEvent.DeploymentAdopted(deployment));
        return this;
    }

    Duration now() {
        return clock.elapsed();
    }

    Deployment deployment() {
        return deployment;
    }

    /** Moves time on in ticks, with reports every 250 ms. */
    List<RoutingAction> advance(Duration step) {
        List<RoutingAction> actions = new ArrayList<>();
        Duration end = now().plus(step);
        while (now().compareTo(end) < 0) {
            clock.advance(Duration.ofMillis(20));
            actions.addAll(tell(new RoutingEvent.Tick()));
            if (now().toMillis() % 240 == 0) {
                actions.addAll(reportAll());
            }
        }
        return actions;
    }

    /** Moves time on in ticks, without reports. */
    void pass(Duration step) {
        Duration end = now().plus(step);
        while (now().compareTo(end) < 0) {
            clock.advance(Duration.ofMillis(20));
            tell(new RoutingEvent.Tick());
        }
    }

    /** Moves time on without any event, as while this instance is paused. */
    void pause(Duration step) {
        clock.advance(step);
    }

    List<RoutingAction> tell(RoutingEvent event) {
        List<RoutingAction> actions = policy.on(event, now());
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Place place) {
                placements.put(place.attempt(), place.placement());
                held.get(place.placement().decode()).add(place.attempt());
            }
        }
        return actions;
    }

    List<RoutingAction> reportAll() {
        List<RoutingAction> actions = new ArrayList<>();
        held.keySet().forEach(server -> actions.addAll(report(server, "1")));
        return actions;
    }

    List<RoutingAction> report(ServerId server, String version) {
        if (deployment.server(server).isEmpty()) {
            return List.of();
        }
        int used = held.get(server).size() + heldByOthers.getOrDefault(server, 0);
        ServerLoad load = new ServerLoad(
                SLOTS,
                used,
                PIECES,
                used,
                2048,
                prefillQueues.getOrDefault(server, 0L),
                PREFILL_RATE,
                10_000_000_000L,
                100_000,
                "chalk-llm",
                version,
                now(),
                held.get(server));
        return tell(new RoutingEvent.LoadReported(server, load));
    }

    /** Makes a server report slots that requests of other instances hold; returns what follows. */
    List<RoutingAction> othersHold(String server, int slots) {
        heldByOthers.put(ServerId.of(server), slots);
        return report(ServerId.of(server), "1");
    }

    /** Makes a server report prompt tokens that wait for prefill. */
    void prefillQueue(String server, long tokens) {
        prefillQueues.put(ServerId.of(server), tokens);
        report(ServerId.of(server), "1");
    }

    /** Sends a request and returns what was decided at once. */
    List<RoutingAction> send(String caller, int promptTokens, int maxTokens) {
        return send(caller, promptTokens, maxTokens, List.of());
    }

    List<RoutingAction> send(String caller, int promptTokens, int maxTokens, List<Long> prefixes) {
        return tell(new RoutingEvent.RequestArrived(facts(caller, promptTokens, maxTokens, prefixes)));
    }

    private RequestFacts facts(String caller, int promptTokens, int maxTokens, List<Long> prefixes) {
        Caller sender = deployment.caller(CallerId.of(caller)).orElseThrow();
        return new RequestFacts(
                RequestId.of("entry-1-7-" + ++lastRequest),
                sender,
                deployment.callerClass(sender.callerClass()).orElseThrow(),
                ServiceId.of("drafts"),
                promptTokens,
                maxTokens,
                prefixes,
                now(),
                now().plusSeconds(60));
    }

    /** Ends an attempt whole and returns what follows. */
    List<RoutingAction> complete(AttemptId attempt, int outputTokens) {
        release(attempt);
        return tell(new RoutingEvent.AttemptEnded(attempt, new AttemptOutcome.Completed(outputTokens)));
    }

    /** Fails an attempt at its decode server. */
    List<RoutingAction> fail(AttemptId attempt, AttemptOutcome.FailureKind kind, Verdict verdict, int outputTokens) {
        release(attempt);
        ServerId server = placements.get(attempt).decode();
        return tell(
                new RoutingEvent.AttemptEnded(attempt, new AttemptOutcome.Failed(server, kind, verdict, outputTokens)));
    }

    Placement placement(AttemptId attempt) {
        return placements.get(attempt);
    }

    String zone(ServerId server) {
        return deployment.server(server).map(Server::zone).orElseThrow().value();
    }

    private void release(AttemptId attempt) {
        held.get(placements.get(attempt).decode()).remove(attempt);
    }

    static RoutingAction.Place placed(List<RoutingAction> actions) {
        return (RoutingAction.Place) actions.get(0);
    }

    static RoutingAction.Refuse refused(List<RoutingAction> actions) {
        return (RoutingAction.Refuse) actions.get(0);
    }

    static List<RoutingAction.Place> places(List<RoutingAction> actions) {
        return actions.stream()
                .filter(RoutingAction.Place.class::isInstance)
                .map(RoutingAction.Place.class::cast)
                .toList();
    }

    static List<RoutingAction.Refuse> refusals(List<RoutingAction> actions) {
        return actions.stream()
                .filter(RoutingAction.Refuse.class::isInstance)
                .map(RoutingAction.Refuse.class::cast)
                .toList();
    }
}
