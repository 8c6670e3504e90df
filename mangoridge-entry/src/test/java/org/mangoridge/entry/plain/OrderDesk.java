package org.mangoridge.entry.plain;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.mangoridge.claims.store.ClaimRunner;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.engine.plain.HttpPlainService;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.entry.reply.RequestIdGenerator;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.standin.platform.PlatformStandIn;
import org.mangoridge.standin.service.ServiceStandIn;
import org.mangoridge.web.ClientConnection;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Two instances' handlers, a platform and an order service over real sockets. */
final class OrderDesk implements AutoCloseable {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(500);
    private static final int PLENTY = 10_000;

    private static final String CONFIG =
            """
            [service orderdesk]
            kind = plain
            timeout = 500ms
            [class counter]
            first-token = 340ms
            per-token = 39ms
            [caller nursery]
            key-hash = %1$s
            class = counter
            [caller council]
            key-hash = %1$s
            class = counter
            [server orders-1]
            address = %%s
            zone = scot-central-a
            role = plain
            service = orderdesk
            """.formatted(KeyHash.of("testsalt".getBytes(StandardCharsets.UTF_8), "secret"));

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();

    final PlatformStandIn platform = own(PlatformStandIn.start(ANY_PORT));
    final ServiceStandIn orders = own(ServiceStandIn.start(ANY_PORT));
    final VirtualClock clock = VirtualClock.create();

    private final Deployment deployment;
    private final Instance[] instances;

    /** Starts everything; each instance may write {@code burst} claims' objects in all. */
    OrderDesk(HostPort server, int burst, HaltPoint point) {
        String address = (server == null ? orders.address() : server).toString();
        deployment =
                DeploymentParser.parseText("test", CONFIG.formatted(address)).value();
        instances =
                new Instance[] {new Instance("entry-1", burst, point), new Instance("entry-2", burst, HaltPoint.none())
                };
    }

    static OrderDesk start() {
        return new OrderDesk(null, PLENTY, HaltPoint.none());
    }

    /** Starts everything; the first instance halts at {@code point}. */
    static OrderDesk haltingAt(HaltPoint point) {
        return new OrderDesk(null, PLENTY, point);
    }

    /** Places an order at one of the instances. */
    WebReply.Buffered place(int instance, String caller, String key, String order) {
        return instances[instance].place(caller, key, order);
    }

    Map<String, Integer> runs() {
        return orders.runs();
    }

    @Override
    public void close() {
        orders.resume();
        while (!parts.isEmpty()) {
            try {
                parts.pop().close();
            } catch (Exception e) {
                throw new IllegalStateException("a part could not be closed", e);
            }
        }
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }

    private final class Instance {

        private final PlainRequestHandler handler;
        private final RequestIdGenerator ids;

        Instance(String name, int burst, HaltPoint point) {
            Owner owner = new Owner(InstanceId.of(name), Incarnation.of(1));
            HttpTransport transport = own(HttpTransport.create(CONNECT_TIMEOUT));
            ClaimRunner runner = own(ClaimRunner.create(
                    point.around(HttpObjectStore.create(transport, platform.address(), PLATFORM_TIMEOUT)), clock));
            AccountLedger accounts = AccountLedger.create(own(ControlLoop.start(name)), new MetricRegistry(), clock);
            ids = RequestIdGenerator.of(owner);
            handler = PlainRequestHandler.create(
                    HttpPlainService.create(transport),
                    ClaimedCalls.create(runner, TokenBucket.create(clock, 1, burst), owner, clock),
                    TokenBucket.create(clock, 1, PLENTY),
                    new Random(1),
                    accounts);
        }

        WebReply.Buffered place(String caller, String key, String order) {
            Headers headers = Headers.of("Content-Type", "application/json");
            if (key != null) {
                headers = headers.with("Idempotency-Key", key);
            }
            byte[] body = ("{\"order\": \"" + order + "\", \"item\": \"chalk\"}").getBytes(StandardCharsets.UTF_8);
            WebRequest web =
                    new WebRequest("POST", "/services/orderdesk/orders", Map.of(), headers, body, new Connected());
            return (WebReply.Buffered) handler.handle(
                    ids.next(), deployment.caller(CallerId.of(caller)).orElseThrow(), deployment, web);
        }
    }

    private static final class Connected implements ClientConnection {

        @Override
        public boolean isClosed() {
            return false;
        }

        @Override
        public void onClose(Runnable action) {}
    }
}
