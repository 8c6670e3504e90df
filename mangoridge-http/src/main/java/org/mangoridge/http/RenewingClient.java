package org.mangoridge.http;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.time.Clock;

/**
 * Provides the HTTP client for new calls and replaces it, with its connection pool, from time to time.
 *
 * <p>A replaced client finishes the calls that it started. Safe for use by several threads.
 */
final class RenewingClient implements AutoCloseable {

    private static final Duration MAX_AGE = Duration.ofMinutes(5);
    private static final Duration MIN_AGE = Duration.ofSeconds(5);

    /** A client, and the time when the call that uses it started. */
    record AcquiredClient(HttpClient client, Duration callStart) {}

    private final Duration connectTimeout;
    private final Clock clock;
    private final RenewalSchedule schedule;
    private final List<HttpClient> replacedClients = new ArrayList<>();
    private HttpClient current;
    private boolean closed;

    RenewingClient(Duration connectTimeout, Clock clock, RandomGenerator random) {
        this.connectTimeout = connectTimeout;
        this.clock = clock;
        this.schedule = new RenewalSchedule(MAX_AGE, MIN_AGE, random, clock.elapsed());
        this.current = create();
    }

    /** Returns the client for a call that starts now, after replacing it if that is due. */
    synchronized AcquiredClient acquire() {
        Duration now = clock.elapsed();
        if (!closed && schedule.isDue(now)) {
            schedule.recordRenewal(now);
            replacedClients.removeIf(HttpClient::isTerminated);
            current.shutdown();
            replacedClients.add(current);
            current = create();
        }
        return new AcquiredClient(current, now);
    }

    /** Records that a call on {@code acquired} timed out. */
    synchronized void recordTimeout(AcquiredClient acquired) {
        schedule.recordTimeout(acquired.callStart());
    }

    @Override
    public synchronized void close() {
        closed = true;
        current.shutdownNow();
        replacedClients.forEach(HttpClient::shutdownNow);
    }

    private HttpClient create() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(connectTimeout)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build();
    }
}
