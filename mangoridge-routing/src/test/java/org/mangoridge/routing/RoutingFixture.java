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

/** Drives a policy on a virtual clock and tracks the attempts on each server, so that tests can report its load. */
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
    private final Map<ServerId, Set<AttemptId>> attemptsHeld = new LinkedHashMap<>();
    private final Map<ServerId, Integer> slotsOfOthers = new LinkedHashMap<>();
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
                .formatted(name, 1000 + attemptsHeld.size(), zone, role));
        attemptsHeld.put(ServerId.of(name), new HashSet<>());
        return this;
    }

    RoutingFixture caller(String name, String callerClass, String workspace) {
        config.append("[caller %s]\nkey-hash = %s\nclass = %s\nworkspace = %s\n"
                .formatted(name, KEY_HASH, callerClass, workspace));
        return this;
    }

    /** Adopts the configuration and reports the load of every server. */
    RoutingFixture adopt() {
        adoptWithoutReports();
        reportAll();
        return this;
    }

    RoutingFixture adoptWithoutReports() {
        deployment = DeploymentParser.parseText("test.ini", config.toString()).value();
        apply(new RoutingEvent.DeploymentAdopted(deployment));
        return this;
    }

    Duration now() {
        return clock.elapsed();
    }

    Deployment deployment() {
        return deployment;
    }

    /** Advances the clock in ticks of 20 ms, with load reports every 240 ms; returns the resulting actions. */
    List<RoutingAction> advance(Duration step) {
        List<RoutingAction> actions = new ArrayList<>();
        Duration end = now().plus(step);
        while (now().compareTo(end) < 0) {
            clock.advance(Duration.ofMillis(20));
            actions.addAll(apply(new RoutingEvent.Tick()));
            if (now().toMillis() % 240 == 0) {
                actions.addAll(reportAll());
            }
        }
        return actions;
    }

    /** Advances the clock in ticks of 20 ms, without load reports. */
    void tick(Duration step) {
        Duration end = now().plus(step);
        while (now().compareTo(end) < 0) {
            clock.advance(Duration.ofMillis(20));
            apply(new RoutingEvent.Tick());
        }
    }

    /** Advances the clock without any event, as during a pause of the process. */
    void pause(Duration step) {
        clock.advance(step);
    }

    List<RoutingAction> apply(RoutingEvent event) {
        List<RoutingAction> actions = policy.on(event, now());
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Place place) {
                placements.put(place.attempt(), place.placement());
                attemptsHeld.get(place.placement().decode()).add(place.attempt());
            }
        }
        return actions;
    }

    List<RoutingAction> reportAll() {
        List<RoutingAction> actions = new ArrayList<>();
        attemptsHeld.keySet().forEach(server -> actions.addAll(report(server, "1")));
        return actions;
    }

    List<RoutingAction> report(ServerId server, String version) {
        if (deployment.server(server).isEmpty()) {
            return List.of();
        }
        int used = attemptsHeld.get(server).size() + slotsOfOthers.getOrDefault(server, 0);
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
                attemptsHeld.get(server));
        return apply(new RoutingEvent.LoadReported(server, load));
    }

    /** Makes a server report slots held by other instances; returns the resulting actions. */
    List<RoutingAction> reportSlotsOfOthers(String server, int slots) {
        slotsOfOthers.put(ServerId.of(server), slots);
        return report(ServerId.of(server), "1");
    }

    /** Makes a server report prompt tokens that wait for prefill. */
    void reportPrefillQueue(String server, long tokens) {
        prefillQueues.put(ServerId.of(server), tokens);
        report(ServerId.of(server), "1");
    }

    /** Sends a request and returns the immediate actions. */
    List<RoutingAction> send(String caller, int promptTokens, int maxTokens) {
        return send(caller, promptTokens, maxTokens, List.of());
    }

    List<RoutingAction> send(String caller, int promptTokens, int maxTokens, List<Long> prefixes) {
        return apply(new RoutingEvent.RequestArrived(facts(caller, promptTokens, maxTokens, prefixes)));
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

    /** Completes an attempt and returns the resulting actions. */
    List<RoutingAction> complete(AttemptId attempt, int outputTokens) {
        release(attempt);
        return apply(new RoutingEvent.AttemptEnded(attempt, new AttemptOutcome.Completed(outputTokens)));
    }

    /** Fails an attempt on its decode server and returns the resulting actions. */
    List<RoutingAction> fail(AttemptId attempt, AttemptOutcome.FailureKind kind, Verdict verdict, int outputTokens) {
        release(attempt);
        ServerId server = placements.get(attempt).decode();
        return apply(
                new RoutingEvent.AttemptEnded(attempt, new AttemptOutcome.Failed(server, kind, verdict, outputTokens)));
    }

    Placement placement(AttemptId attempt) {
        return placements.get(attempt);
    }

    String zone(ServerId server) {
        return deployment.server(server).map(Server::zone).orElseThrow().value();
    }

    private void release(AttemptId attempt) {
        attemptsHeld.get(placements.get(attempt).decode()).remove(attempt);
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
