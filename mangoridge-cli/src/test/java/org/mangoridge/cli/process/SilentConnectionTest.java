package org.mangoridge.cli.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebServer;

import static com.google.common.truth.Truth.assertThat;

/** Connections that go silent for good while new ones work. */
class SilentConnectionTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final int POOLED = 4;
    private static final int TOKENS = 150;

    @TempDir
    private Path folder;

    @Test
    void oneSilentConnectionRenewsAllThatWerePooledWithIt() throws Exception {
        CountDownLatch together = new CountDownLatch(POOLED);
        VirtualClock clock = VirtualClock.create();
        try (WebServer server = WebServer.start(HostPort.parse("127.0.0.1:0"), 1024, 1, web -> {
                    together.countDown();
                    await(together);
                    return WebReply.text(200, "here");
                });
                SilentProxy proxy = SilentProxy.start(server.address());
                HttpTransport transport = HttpTransport.create(TIMEOUT, clock, new SplittableRandom(1))) {
            fillPool(transport, proxy);
            proxy.silenceOpenConnections();
            clock.advance(Duration.ofSeconds(10));
            assertThat(post(transport, proxy, SHORT).isOk()).isFalse();
            assertThat(post(transport, proxy, TIMEOUT).isOk()).isTrue();
        }
    }

    @Test
    void aStreamWhoseConnectionToTheServerGoesSilentIsResumedAtItsToken() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.behindProxy(folder, 1)) {
            try (HttpLineStream stream = fleet.stream(fleet.instances.get(0), TOKENS)) {
                fleet.awaitTrue("it decodes", () -> fleet.engine.slotsUsed() == 1);
                fleet.proxy.silenceOpenConnections();
                List<String> data = fleet.rest(stream);
                assertThat(data).hasSize(TOKENS + 2);
                assertThat(data.get(data.size() - 1)).isEqualTo("data: [DONE]");
            }
        }
    }

    private static void fillPool(HttpTransport transport, SilentProxy proxy) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < POOLED; i++) {
            threads.add(Thread.ofVirtual().start(() -> post(transport, proxy, TIMEOUT)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static Result<HttpAnswer, HttpFailure> post(HttpTransport transport, SilentProxy proxy, Duration timeout) {
        return transport.send(HttpCall.postJson(proxy.address().httpUri("/"), "call", timeout));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
