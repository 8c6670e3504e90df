package org.mangoridge.http;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.time.Clock;

/** Keeps one client for new calls and lets the former ones finish theirs; safe for use by several threads. */
final class ClientPool implements AutoCloseable {

    private static final Duration MAX_AGE = Duration.ofMinutes(5);
    private static final Duration SHORTEST_AGE = Duration.ofSeconds(5);

    /** A client, and when the call that asked for it began. */
    record Lease(HttpClient client, Duration began) {}

    private final Duration connectTimeout;
    private final Clock clock;
    private final RenewalPlan plan;
    private final List<HttpClient> former = new ArrayList<>();
    private HttpClient current;
    private boolean closed;

    ClientPool(Duration connectTimeout, Clock clock, RandomGenerator random) {
        this.connectTimeout = connectTimeout;
        this.clock = clock;
        this.plan = new RenewalPlan(MAX_AGE, SHORTEST_AGE, random, clock.elapsed());
        this.current = create();
    }

    /** Returns the client for a call that begins now. */
    synchronized Lease take() {
        Duration now = clock.elapsed();
        if (!closed && plan.isDue(now)) {
            plan.renewed(now);
            former.removeIf(HttpClient::isTerminated);
            current.shutdown();
            former.add(current);
            current = create();
        }
        return new Lease(current, now);
    }

    /** Notes a call that brought nothing in its time. */
    synchronized void silent(Lease lease) {
        plan.silent(lease.began());
    }

    @Override
    public synchronized void close() {
        closed = true;
        current.shutdownNow();
        former.forEach(HttpClient::shutdownNow);
    }

    private HttpClient create() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(connectTimeout)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build();
    }
}
