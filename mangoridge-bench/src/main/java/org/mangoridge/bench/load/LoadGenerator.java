package org.mangoridge.bench.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;

/** Sends requests at their times, however the ones before are answered; used by one thread. */
public final class LoadGenerator implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private record Body(
            String model,
            String prompt,
            @JsonProperty("max_tokens") int maxTokens,
            boolean stream) {}

    private final Clock clock;
    private final String service;
    private final Supplier<HostPort> instances;
    private final Map<String, String> keys;
    private final AnswerCheck check;
    private final HttpTransport transport = HttpTransport.create(CONNECT_TIMEOUT);
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    private LoadGenerator(
            Clock clock, String service, Supplier<HostPort> instances, Map<String, String> keys, AnswerCheck check) {
        this.clock = clock;
        this.service = service;
        this.instances = instances;
        this.keys = Map.copyOf(keys);
        this.check = check;
    }

    /** Tells whether an answer is the whole one to its request. */
    @FunctionalInterface
    public interface AnswerCheck {

        /** Tells whether an answer to {@code prompt} with {@code maxTokens} has {@code tokens} tokens. */
        boolean isWhole(String prompt, int maxTokens, int tokens);
    }

    /**
     * Returns a generator.
     *
     * @param instances gives the address for each request
     * @param keys the key of each caller
     */
    public static LoadGenerator create(
            Clock clock, String service, Supplier<HostPort> instances, Map<String, String> keys, AnswerCheck check) {
        return new LoadGenerator(clock, service, instances, keys, check);
    }

    /** Sends every request and returns what came of each, in the same order. */
    public List<Outcome> run(List<Arrival> schedule) throws InterruptedException {
        Duration start = clock.elapsed();
        List<Future<Outcome>> pending = new ArrayList<>(schedule.size());
        for (Arrival arrival : schedule) {
            HttpCall call = call(arrival, instances.get());
            Duration due = start.plus(arrival.at());
            Duration left = due.minus(clock.elapsed());
            if (left.isPositive()) {
                Thread.sleep(left);
            }
            Exchange exchange = new Exchange(clock, transport, check, arrival, due);
            pending.add(threads.submit(() -> exchange.run(call)));
        }
        List<Outcome> outcomes = new ArrayList<>(pending.size());
        for (Future<Outcome> outcome : pending) {
            outcomes.add(await(outcome));
        }
        return outcomes;
    }

    @Override
    public void close() {
        transport.close();
        threads.shutdownNow();
    }

    private static Outcome await(Future<Outcome> outcome) throws InterruptedException {
        try {
            return outcome.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a request met a defect of the generator", e.getCause());
        }
    }

    private HttpCall call(Arrival arrival, HostPort instance) {
        Body body = new Body(service, arrival.prompt().text(), arrival.maxTokens(), true);
        Headers headers = Headers.of("Content-Type", "application/json")
                .with("Authorization", "Bearer " + keys.get(arrival.caller()));
        return new HttpCall(
                "POST",
                instance.httpUri("/v1/completions"),
                headers,
                Json.text(body).getBytes(StandardCharsets.UTF_8),
                Exchange.LONGEST_WAIT);
    }
}
