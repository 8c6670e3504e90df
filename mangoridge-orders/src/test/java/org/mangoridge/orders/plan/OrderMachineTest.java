package org.mangoridge.orders.plan;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.orders.lease.Tenure;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.ServerRole;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class OrderMachineTest {

    private static final OrderRules RULES =
            new OrderRules(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(30), 2);
    private static final Duration NOW = Duration.ofSeconds(100);

    private final OrderMachine machine = OrderMachine.create(AvailabilityZone.of("a"), ServiceId.of("guide"), RULES);

    private static Deployment deployment(int servers, String service, String server) {
        StringBuilder text = new StringBuilder("[service guide]\nkind = model\nmodel = m\n" + service);
        for (int i = 0; i < servers; i++) {
            text.append("[server s").append(i).append("]\naddress = 127.0.0.1:").append(1000 + i);
            text.append("\nzone = a\nservice = guide\n").append(server);
        }
        return DeploymentParser.parseText("test", text.toString()).value();
    }

    private static Tenure tenure(long fencing, Duration startedAt, Duration quietUntil) {
        return new Tenure(FencingToken.of(fencing), startedAt, startedAt.plusSeconds(3600), quietUntil);
    }

    private static EngineFacts facts(ServerRole role, String version) {
        return new EngineFacts(role, "m", version, 0, false);
    }

    private List<EngineOrder> orders(Deployment deployment, Tenure tenure, Duration now) {
        return machine.on(new OrderEvent.Tick(deployment, Optional.of(tenure)), now).stream()
                .filter(OrderAction.SendOrder.class::isInstance)
                .map(action -> ((OrderAction.SendOrder) action).order())
                .toList();
    }

    private void readAll(int servers, EngineFacts facts, Duration now) {
        for (int i = 0; i < servers; i++) {
            machine.on(new OrderEvent.StateRead(ServerId.of("s" + i), facts), now);
        }
    }

    @Test
    void sendsNoOrderBeforeTheStateIsReadInThisTenure() {
        Deployment deployment = deployment(1, "version = 2\n", "role = both\n");
        readAll(1, facts(ServerRole.BOTH, "1"), Duration.ofSeconds(50));
        Tenure tenure = tenure(2, NOW, NOW);
        assertThat(orders(deployment, tenure, NOW)).isEmpty();
        readAll(1, facts(ServerRole.BOTH, "1"), NOW);
        assertThat(orders(deployment, tenure, NOW)).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"yes, 1", "no, 0"})
    void onlyEnginesThatCheckFencingGetOrdersBeforeQuietUntil(String checks, int expected) {
        Deployment deployment = deployment(1, "version = 2\n", "role = both\nchecks-fencing = " + checks + "\n");
        readAll(1, facts(ServerRole.BOTH, "1"), NOW);
        assertThat(orders(deployment, tenure(2, NOW, NOW.plusSeconds(60)), NOW)).hasSize(expected);
    }

    @ParameterizedTest
    @CsvSource({"1, 2", "3, 1", "4, 0"})
    void respectsTheServingFloorAndTheLimitOnConcurrentLoads(int floor, int expected) {
        Deployment deployment =
                deployment(4, "version = 2\nprevious-version = 1\nserving-floor = " + floor + "\n", "role = both\n");
        readAll(4, facts(ServerRole.BOTH, "1"), NOW);
        assertThat(orders(deployment, tenure(2, NOW, NOW), NOW)).hasSize(expected);
    }

    @Test
    void sendsNoOrderAfterAnUnansweredOneUntilThatOneMustHaveEnded() {
        Deployment deployment = deployment(1, "version = 2\n", "role = both\n");
        readAll(1, facts(ServerRole.BOTH, "1"), NOW);
        Tenure tenure = tenure(2, NOW, NOW);
        EngineOrder order = orders(deployment, tenure, NOW).get(0);
        machine.on(new OrderEvent.OrderFinished(order, new OrderOutcome.Unknown("lost")), NOW);
        readAll(1, facts(ServerRole.BOTH, "1"), NOW.plusSeconds(5));
        assertThat(orders(deployment, tenure, NOW.plusSeconds(59))).isEmpty();
        assertThat(orders(deployment, tenure, NOW.plusSeconds(60))).hasSize(1);
    }

    @Test
    void reportsTheFencingTokenOfARejectedOrder() {
        Deployment deployment = deployment(1, "version = 2\n", "role = both\nchecks-fencing = yes\n");
        readAll(1, facts(ServerRole.BOTH, "1"), NOW);
        EngineOrder order = orders(deployment, tenure(2, NOW, NOW), NOW).get(0);
        assertThat(machine.on(new OrderEvent.OrderFinished(order, new OrderOutcome.OldFencing(9)), NOW))
                .containsExactly(new OrderAction.ReportFencing(9));
    }

    /** Engines whose answers are lost, with the order carried out or not, still reach the configured state. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void faultyEnginesReachTheConfiguredState(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Deployment deployment =
                deployment(5, "version = 2\nprevious-version = 1\nserving-floor = 3\n", "role = decode\n");
        Map<ServerId, EngineFacts> engines = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            engines.put(ServerId.of("s" + i), facts(i == 0 ? ServerRole.PREFILL : ServerRole.DECODE, "1"));
        }
        Tenure tenure = new Tenure(FencingToken.of(1), Duration.ZERO, Duration.ofHours(9), Duration.ZERO);
        for (long second = 0; second < 3000; second++) {
            Duration now = Duration.ofSeconds(second);
            for (OrderAction action : machine.on(new OrderEvent.Tick(deployment, Optional.of(tenure)), now)) {
                execute(action, engines, random, second < 1500, now);
            }
            long serving = engines.values().stream()
                    .filter(engine -> engine.role() == ServerRole.DECODE)
                    .count();
            assertWithMessage("seed " + seed).that(serving).isAtLeast(3);
        }
        assertWithMessage("seed " + seed)
                .that(engines.values())
                .containsExactlyElementsIn(Collections.nCopies(5, facts(ServerRole.DECODE, "2")));
    }

    private void execute(
            OrderAction action,
            Map<ServerId, EngineFacts> engines,
            SplittableRandom random,
            boolean faulty,
            Duration now) {
        boolean lost = faulty && random.nextInt(3) == 0;
        switch (action) {
            case OrderAction.ReadState read ->
                machine.on(
                        lost
                                ? new OrderEvent.StateReadFailed(read.server())
                                : new OrderEvent.StateRead(read.server(), engines.get(read.server())),
                        now);
            case OrderAction.SendOrder send -> {
                boolean obeyed = !lost || random.nextBoolean();
                if (obeyed) {
                    engines.compute(send.order().server(), (id, before) -> after(before, send.order()));
                }
                OrderOutcome outcome = lost
                        ? new OrderOutcome.Unknown("lost")
                        : new OrderOutcome.Obeyed(engines.get(send.order().server()));
                machine.on(new OrderEvent.OrderFinished(send.order(), outcome), now);
            }
            case OrderAction.ReportFencing report -> {
                // the simulated engines ignore fencing tokens
            }
        }
    }

    private static EngineFacts after(EngineFacts before, EngineOrder order) {
        return switch (order) {
            case EngineOrder.LoadModel load -> facts(before.role(), load.version());
            case EngineOrder.ChangeRole change -> facts(change.role(), before.version());
        };
    }
}
