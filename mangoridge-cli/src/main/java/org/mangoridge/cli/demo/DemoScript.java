package org.mangoridge.cli.demo;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;

/** The requests of the demonstration; each step prints what came and whether it is what it should be. */
final class DemoScript {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int READY_TRIES = 100;
    private static final long READY_PAUSE_MILLIS = 100;
    private static final int TOKENS = 12;
    private static final int OVERSIZED = 100_000;

    private final DemoSystem system;
    private final PrintStream out;
    private final HttpTransport transport = HttpTransport.create(TIMEOUT);
    private boolean passed = true;

    DemoScript(DemoSystem system, PrintStream out) {
        this.system = system;
        this.out = out;
    }

    /** Runs every step; returns whether all went as they should. */
    boolean run() throws InterruptedException {
        try (transport) {
            awaitReady();
            streamedCompletion();
            order();
            refusal("a wrong key", completion("wrong.key", "draftroom", "Hello"), 401);
            refusal("an oversized body", completion(DemoSystem.COUNTER_KEY, "draftroom", "x".repeat(OVERSIZED)), 413);
            refusal("an unknown service", completion(DemoSystem.COUNTER_KEY, "nowhere", "Hello"), 404);
            refusal("a malformed body", call(DemoSystem.COUNTER_KEY, "/v1/completions", "{\"model\": "), 400);
            accounts();
            return passed;
        }
    }

    private void awaitReady() throws InterruptedException {
        for (int i = 0; i < READY_TRIES; i++) {
            HttpCall call = HttpCall.get(system.operatorAddress().httpUri("/ready"), TIMEOUT);
            Result<HttpAnswer, HttpFailure> answer = transport.send(call);
            if (answer.isOk() && answer.value().isSuccess()) {
                return;
            }
            Thread.sleep(READY_PAUSE_MILLIS);
        }
        check("instance ready", false);
    }

    private void streamedCompletion() {
        out.println("== A streamed completion through separate prefill and decode servers");
        String body = "{\"model\": \"draftroom\", \"prompt\": \"Summarise the tender for playground chalk.\","
                + " \"max_tokens\": " + TOKENS + ", \"stream\": true}";
        Result<HttpLineStream, HttpFailure> opened =
                transport.openStream(call(DemoSystem.COUNTER_KEY, "/v1/completions", body));
        if (!opened.isOk()) {
            check(opened.error().detail(), false);
            return;
        }
        int pieces = 0;
        boolean done = false;
        try (HttpLineStream lines = opened.value()) {
            Result<Optional<String>, HttpFailure> line = lines.nextLine(TIMEOUT);
            while (line.isOk() && line.value().isPresent()) {
                String text = line.value().get();
                done |= text.endsWith("[DONE]");
                pieces += text.startsWith("data: {") ? 1 : 0;
                if (pieces <= 2 && !text.isEmpty()) {
                    out.println(text);
                }
                line = lines.nextLine(TIMEOUT);
            }
        }
        check(pieces + " pieces, complete: " + done, done && pieces == TOKENS + 1);
    }

    private void order() {
        out.println("== An order on a plain service");
        HttpCall call = call(
                DemoSystem.COUNTER_KEY, "/services/orderdesk/orders", "{\"order\": \"order-17\", \"item\": \"chalk\"}");
        Result<HttpAnswer, HttpFailure> answer = transport.send(call);
        out.println(answer.isOk() ? answer.value().text() : answer.error().detail());
        Integer runs = system.orderRuns().get("order-17");
        check("the order ran " + runs + " time(s)", Integer.valueOf(1).equals(runs));
    }

    private void refusal(String name, HttpCall call, int expectedStatus) {
        out.println("== A refusal: " + name);
        Result<HttpAnswer, HttpFailure> answer = transport.send(call);
        if (!answer.isOk()) {
            check(answer.error().detail(), false);
            return;
        }
        String verdict = answer.value().headers().value("X-Verdict").orElse("none");
        out.println(answer.value().status() + " verdict " + verdict + " "
                + answer.value().text());
        boolean asExpected = answer.value().status() == expectedStatus && verdict.equals("not-run");
        check("status " + expectedStatus + " and a verdict", asExpected);
    }

    private void accounts() {
        out.println("== Accounts of callers");
        HttpCall call = HttpCall.get(system.operatorAddress().httpUri("/accounts"), TIMEOUT);
        Result<HttpAnswer, HttpFailure> answer = transport.send(call);
        String text = answer.isOk() ? answer.value().text() : answer.error().detail();
        out.println(text);
        check("the caller's two served requests are counted", text.contains("\"served\":2"));
    }

    private void check(String what, boolean good) {
        out.println((good ? "ok: " : "WRONG: ") + what);
        passed &= good;
    }

    private HttpCall completion(String key, String service, String prompt) {
        String body = "{\"model\": \"" + service + "\", \"prompt\": \"" + prompt + "\", \"max_tokens\": 2}";
        return call(key, "/v1/completions", body);
    }

    private HttpCall call(String key, String path, String body) {
        HostPort address = system.callerAddress();
        Headers headers = Headers.of("Content-Type", "application/json").with("Authorization", "Bearer " + key);
        return new HttpCall("POST", address.httpUri(path), headers, body.getBytes(StandardCharsets.UTF_8), TIMEOUT);
    }
}
