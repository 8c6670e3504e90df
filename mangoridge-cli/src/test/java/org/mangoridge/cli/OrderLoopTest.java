package org.mangoridge.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.entry.orders.OrderLoop;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;
import org.mangoridge.standin.platform.PlatformStandIn;

import static com.google.common.truth.Truth.assertThat;

class OrderLoopTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");

    private static Deployment deployment(HostPort engine) {
        return DeploymentParser.parseText("test", """
                [service guide]
                kind = model
                model = m
                version = 2
                serving-floor = 0
                [server s1]
                address = %s
                zone = a
                role = decode
                service = guide
                checks-fencing = yes
                """.formatted(engine)).value();
    }

    @Test
    void oneOfTwoInstancesBringsTheEngineToTheConfiguration() throws InterruptedException {
        Clock clock = SystemClock.instance();
        List<EngineOrder> given = new CopyOnWriteArrayList<>();
        CountDownLatch obeyed = new CountDownLatch(2);
        try (PlatformStandIn platform = PlatformStandIn.start(ANY_PORT);
                EngineStandIn engine = EngineStandIn.start(ANY_PORT, EngineProfile.of("both", "m", "1"), clock);
                HttpTransport transport = HttpTransport.create(TIMEOUT);
                ControlLoop one = ControlLoop.start("one");
                ControlLoop two = ControlLoop.start("two")) {
            ObjectStore store = HttpObjectStore.create(transport, platform.address(), TIMEOUT);
            EngineDirectory engines = address -> HttpModelEngine.create(transport, address);
            Deployment deployment = deployment(engine.address());
            for (ControlLoop control : List.of(one, two)) {
                Owner owner = new Owner(InstanceId.of(control == one ? "one" : "two"), Incarnation.of(1));
                OrderLoop.create(control, clock, owner, ZONE, store, engines, (order, outcome) -> {
                            if (outcome instanceof OrderOutcome.Obeyed) {
                                given.add(order);
                                obeyed.countDown();
                            }
                        })
                        .start(() -> deployment, service -> true);
            }
            assertThat(obeyed.await(60, TimeUnit.SECONDS)).isTrue();
            var state = engines.engineAt(engine.address()).state().value();
            assertThat(state.version()).isEqualTo("2");
            assertThat(state.role()).isEqualTo("decode");
            assertThat(given.stream().map(EngineOrder::fencing).distinct().count())
                    .isEqualTo(1);
        }
    }
}
