package org.mangoridge.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.CallerClass;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.settings.deployment.Server;

/**
 * The measured latency of routing decisions about arriving requests.
 *
 * @param servers the servers of the service, all in one availability zone, half of them for prefill
 * @param decisions the number of timed decisions
 * @param median the median latency
 * @param percentile99 the 99th percentile
 * @param slowest the maximum
 */
public record DecisionLatency(int servers, int decisions, Duration median, Duration percentile99, Duration slowest) {

    private static final int WARM_UP_DECISIONS = 30_000;
    private static final int TIMED_DECISIONS = 20_000;
    private static final int SLOTS = 20;
    private static final int PROMPT_TOKENS = 2_000;
    private static final int MAX_TOKENS = 200;
    private static final int WORKSPACES = 100;
    private static final int PREFIXES_PER_PROMPT = 7;
    private static final long DECISIONS_PER_REPORT = 50;
    private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(2);
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
    private static final ServiceId SERVICE = ServiceId.of("service");
    private static final String SERVICES = """
            [service service]
            kind = model
            model = model
            version = 1
            [class class]
            first-token = 1s
            per-token = 100ms
            """;
    private static final String SERVER = """
            [server server-%d]
            address = 127.0.0.1:%d
            zone = a
            role = %s
            service = service
            """;

    /** Measures decisions of the current policy with {@code clock}, for a service with {@code servers} servers. */
    public static DecisionLatency measure(int servers, Clock clock, RandomGenerator random) {
        Checks.argument(servers >= 2, "servers must be at least 2: %d", servers);
        return new Measurement(servers, clock, random).run();
    }

    /** Times the decisions of a policy whose servers report up to half of their slots as used. */
    private static final class Measurement {

        private final Clock clock;
        private final RandomGenerator random;
        private final RoutingPolicy policy;
        private final List<Server> servers;
        private final CallerClass callerClass;
        private Duration now = Duration.ZERO;
        private long lastRequest;

        private Measurement(int count, Clock clock, RandomGenerator random) {
            this.clock = clock;
            this.random = random;
            this.policy = DefaultRoutingPolicy.create(ZONE, random);
            StringBuilder config = new StringBuilder(SERVICES);
            for (int i = 0; i < count; i++) {
                config.append(SERVER.formatted(i, 1000 + i, i % 2 == 0 ? "prefill" : "decode"));
            }
            Deployment deployment = DeploymentParser.parseText("decision-cost", config.toString())
                    .value();
            servers = List.copyOf(deployment.servers());
            callerClass = deployment.classes().iterator().next();
            policy.on(new RoutingEvent.DeploymentAdopted(deployment), now);
        }

        private DecisionLatency run() {
            for (int i = 0; i < WARM_UP_DECISIONS; i++) {
                timedDecision();
            }
            long[] nanos = new long[TIMED_DECISIONS];
            for (int i = 0; i < TIMED_DECISIONS; i++) {
                nanos[i] = timedDecision();
            }
            Arrays.sort(nanos);
            return new DecisionLatency(
                    servers.size(),
                    TIMED_DECISIONS,
                    Duration.ofNanos(nanos[TIMED_DECISIONS / 2]),
                    Duration.ofNanos(nanos[TIMED_DECISIONS * 99 / 100]),
                    Duration.ofNanos(nanos[TIMED_DECISIONS - 1]));
        }

        private long timedDecision() {
            if (lastRequest % DECISIONS_PER_REPORT == 0) {
                servers.forEach(this::report);
            }
            now = now.plus(ARRIVAL_INTERVAL);
            RequestId id = RequestId.of("entry-1-1-" + ++lastRequest);
            RoutingEvent arrived = new RoutingEvent.RequestArrived(facts(id));
            Duration before = clock.elapsed();
            List<RoutingAction> actions = policy.on(arrived, now);
            long nanos = clock.elapsed().minus(before).toNanos();
            if (actions.get(0) instanceof RoutingAction.Place place) {
                AttemptId attempt = place.attempt();
                policy.on(new RoutingEvent.PrefillDone(attempt, PROMPT_TOKENS, 0), now);
                policy.on(new RoutingEvent.AttemptEnded(attempt, new AttemptOutcome.CallerGone(0)), now);
            }
            return nanos;
        }

        private RequestFacts facts(RequestId id) {
            int number = random.nextInt(WORKSPACES);
            Caller caller = new Caller(
                    CallerId.of("caller-" + number),
                    new KeyHash("00".repeat(8), "00".repeat(32)),
                    callerClass.id(),
                    WorkspaceId.of("workspace-" + number));
            List<Long> prefixes = random.longs(PREFIXES_PER_PROMPT).boxed().toList();
            return new RequestFacts(
                    id, caller, callerClass, SERVICE, PROMPT_TOKENS, MAX_TOKENS, prefixes, now, now.plusSeconds(60));
        }

        private void report(Server server) {
            int used = random.nextInt(SLOTS / 2 + 1);
            ServerLoad load = new ServerLoad(
                    SLOTS,
                    used,
                    160,
                    used,
                    2048,
                    random.nextInt(PROMPT_TOKENS),
                    30_000,
                    8_000_000_000L,
                    100_000,
                    "model",
                    "1",
                    now,
                    Set.of());
            policy.on(new RoutingEvent.LoadReported(server.id(), load), now);
        }
    }
}
