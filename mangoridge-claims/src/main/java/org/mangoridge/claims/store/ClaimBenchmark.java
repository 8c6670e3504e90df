package org.mangoridge.claims.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimEvent;
import org.mangoridge.claims.protocol.ClaimResult;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.claims.protocol.RecordedAnswer;
import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;

/** Measures the latency and the platform calls that claims add to orders, with a server that answers at once. */
public final class ClaimBenchmark {

    private static final int WRITES_PER_CALL = 2;
    private static final int BODY_BYTES = 200;
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /**
     * The measurements of one run.
     *
     * @param requested the number of orders requested
     * @param served the number of orders served
     * @param refused the number of orders refused early because the write budget was exhausted
     * @param platformCalls the number of platform calls, reads and writes
     * @param duration the duration of the run
     * @param medianLatency the median latency of the served orders
     * @param medianWriteLatency the median latency of one platform write in the same run
     */
    public record Report(
            int requested,
            int served,
            int refused,
            long platformCalls,
            Duration duration,
            Duration medianLatency,
            Duration medianWriteLatency) {}

    private final ObjectStore store;
    private final Clock clock;
    private final TokenBucket writeBudget;
    private final String keyPrefix;
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicLong platformCalls = new AtomicLong();
    private final List<Duration> latencies = Collections.synchronizedList(new ArrayList<>());
    private final List<Duration> writeLatencies = Collections.synchronizedList(new ArrayList<>());

    private ClaimBenchmark(ObjectStore store, Clock clock, int writesPerSecond, String keyPrefix) {
        this.store = store;
        this.clock = clock;
        this.writeBudget = TokenBucket.create(clock, writesPerSecond, writesPerSecond / 2);
        this.keyPrefix = keyPrefix;
    }

    /** Returns a benchmark that writes at most {@code writesPerSecond} claim objects, under keys of its own. */
    public static ClaimBenchmark create(ObjectStore store, Clock clock, int writesPerSecond) {
        Checks.argument(writesPerSecond >= WRITES_PER_CALL, "a benchmark needs at least two writes a second");
        return new ClaimBenchmark(
                store, clock, writesPerSecond, "bench-" + clock.now().toEpochMilli());
    }

    /** Requests orders from {@code callers} threads for {@code time}; a refused caller waits a second. */
    public Report run(int callers, Duration time) throws InterruptedException {
        Duration start = clock.elapsed();
        Duration end = start.plus(time);
        AtomicInteger requested = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(callers);
        try (ClaimRunner runner = ClaimRunner.create(new TimedStore(), clock)) {
            for (int i = 0; i < callers; i++) {
                Thread.ofVirtual().start(() -> {
                    runCaller(runner, requested, end);
                    done.countDown();
                });
            }
            done.await();
        }
        Duration duration = clock.elapsed().minus(start);
        return new Report(
                requested.get(),
                latencies.size(),
                refused.get(),
                platformCalls.get(),
                duration,
                median(latencies),
                median(writeLatencies));
    }

    private void runCaller(ClaimRunner runner, AtomicInteger requested, Duration end) {
        while (clock.elapsed().compareTo(end) < 0) {
            int number = requested.incrementAndGet();
            Optional<Duration> wait = writeBudget.take(WRITES_PER_CALL);
            if (wait.isPresent()) {
                refused.incrementAndGet();
                try {
                    Thread.sleep(RETRY_DELAY);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                continue;
            }
            Duration before = clock.elapsed();
            ClaimResult result = runner.run(claim(number), ClaimBenchmark::answer);
            if (result instanceof ClaimResult.Completed) {
                latencies.add(clock.elapsed().minus(before));
            }
        }
    }

    private Claim claim(int number) {
        Instant now = clock.now();
        return new Claim(
                ServiceId.of("bench"),
                CallerId.of("bench"),
                keyPrefix + "-" + number,
                "fingerprint",
                AttemptId.first(RequestId.of(keyPrefix + "-" + number)),
                "bench/1",
                ClaimState.CLAIMED,
                now,
                now.plusSeconds(60),
                Optional.empty());
    }

    private static ClaimEvent answer() {
        byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
        return new ClaimEvent.Answered(RecordedAnswer.of(201, "application/json", body));
    }

    private static Duration median(List<Duration> times) {
        List<Duration> sorted = times.stream().sorted().toList();
        return sorted.isEmpty() ? Duration.ZERO : sorted.get(sorted.size() / 2);
    }

    /** Counts the platform calls that claims make, and times their writes. */
    private final class TimedStore extends DelegatingStore {

        TimedStore() {
            super(store);
        }

        @Override
        public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
            Duration before = clock.elapsed();
            WriteOutcome outcome = super.write(key, value, condition);
            writeLatencies.add(clock.elapsed().minus(before));
            return outcome;
        }

        @Override
        void onCall() {
            platformCalls.incrementAndGet();
        }
    }
}
