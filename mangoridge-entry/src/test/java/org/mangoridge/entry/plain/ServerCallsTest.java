package org.mangoridge.entry.plain;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.plain.PlainService;
import org.mangoridge.http.Headers;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.web.WebRequest;

import static com.google.common.truth.Truth.assertThat;

class ServerCallsTest {

    private static final ServiceId SERVICE = ServiceId.of("orderdesk");

    @ParameterizedTest
    @CsvSource({
        "GET, REQUEST_SENT, 10, 3",
        "GET, ANSWER_PARTLY_RECEIVED, 10, 3",
        "GET, REQUEST_SENT, 1, 2",
        "POST, BEFORE_CONNECT, 10, 3",
        "POST, CONNECTED, 10, 3",
        "POST, REQUEST_PARTLY_SENT, 10, 1",
        "POST, REQUEST_SENT, 10, 1",
        "POST, ANSWER_PARTLY_RECEIVED, 10, 1"
    })
    void callIsRetriedOnlyIfSafeAndWithinTheRetryBudget(
            String method, AttemptProgress progress, int retryBudget, int expectedAttempts) {
        List<HostPort> contacted = new ArrayList<>();
        PlainService failing = call -> {
            contacted.add(call.address());
            return Result.err(new EngineError.TransportFailure(progress, "cut"));
        };
        Deployment deployment = deployment();
        ServerCalls calls =
                new ServerCalls(failing, new Random(1), TokenBucket.create(VirtualClock.create(), 1, retryBudget));
        WebRequest web = new WebRequest(
                method,
                "/services/orderdesk/orders",
                Map.of(),
                Headers.empty(),
                "body".getBytes(StandardCharsets.US_ASCII),
                null);
        Result<?, EngineError> answer = calls.send(
                AttemptId.first(RequestId.of("r")),
                deployment.service(SERVICE).orElseThrow(),
                deployment.serversOf(SERVICE),
                PlainTarget.of(web),
                web);
        assertThat(answer.isOk()).isFalse();
        assertThat(contacted).hasSize(expectedAttempts);
        assertThat(new HashSet<>(contacted)).hasSize(expectedAttempts);
    }

    private static Deployment deployment() {
        StringBuilder text = new StringBuilder("[service orderdesk]\nkind = plain\n");
        for (int i = 1; i <= 4; i++) {
            text.append("[server orders-")
                    .append(i)
                    .append("]\naddress = 127.0.0.1:")
                    .append(i);
            text.append("\nzone = scot-central-a\nrole = plain\nservice = orderdesk\n");
        }
        return DeploymentParser.parseText("test", text.toString()).value();
    }
}
