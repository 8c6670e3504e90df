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

/** Measures what claims add to orders whose server answers at once. */
public final class ClaimBenchmark {

    private static final int WRITES_PER_CALL = 2;
    private static final int BODY_BYTES = 200;
    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * What was measured.
     *
     * @param requested orders asked for
     * @param served orders served
     * @param refused orders refused early for want of writes
     * @param platformCalls calls of the platform, reads and writes
     * @param duration how long it all took
     * @param medianLatency the median time that a served order took
     * @param medianWriteLatency the median time of one platform write in the same run
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
    private final TokenBucket writes;
    private final String run;
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicLong calls = new AtomicLong();
    private final List<Duration> added = Collections.synchronizedList(new ArrayList<>());
    private final List<Duration> writeTimes = Collections.synchronizedList(new ArrayList<>());

    private ClaimBenchmark(ObjectStore store, Clock clock, int writesPerSecond, String run) {
        this.store = store;
        this.clock = clock;
        this.writes = TokenBucket.create(clock, writesPerSecond, writesPerSecond / 2);
        this.run = run;
    }

    /** Returns a bench that writes at most {@code writesPerSecond} claim objects under keys of their own. */
    public static ClaimBenchmark create(ObjectStore store, Clock clock, int writesPerSecond) {
        Checks.argument(writesPerSecond >= WRITES_PER_CALL, "a bench needs at least two writes a second");
        return new ClaimBenchmark(
                store, clock, writesPerSecond, "bench-" + clock.now().toEpochMilli());
    }

    /** Asks for orders from {@code callers} threads for {@code time}; a refused one comes back after a second. */
    public Report run(int callers, Duration time) throws InterruptedException {
        Duration start = clock.elapsed();
        Duration end = start.plus(time);
        AtomicInteger number = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(callers);
        try (ClaimRunner runner = ClaimRunner.create(new TimedStore(), clock)) {
            for (int i = 0; i < callers; i++) {
                Thread.ofVirtual().start(() -> {
                    ask(runner, number, end);
                    done.countDown();
                });
            }
            done.await();
        }
        Duration took = clock.elapsed().minus(start);
        return new Report(
                number.get(), added.size(), refused.get(), calls.get(), took, median(added), median(writeTimes));
    }

    private void ask(ClaimRunner runner, AtomicInteger number, Duration end) {
        while (clock.elapsed().compareTo(end) < 0) {
            int order = number.incrementAndGet();
            Optional<Duration> wait = writes.take(WRITES_PER_CALL);
            if (wait.isPresent()) {
                refused.incrementAndGet();
                try {
                    Thread.sleep(SHORTEST_RETRY_AFTER);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                continue;
            }
            Duration before = clock.elapsed();
            ClaimResult word = runner.run(claim(order), ClaimBenchmark::answer);
            if (word instanceof ClaimResult.Completed) {
                added.add(clock.elapsed().minus(before));
            }
        }
    }

    private Claim claim(int order) {
        Instant now = clock.now();
        return new Claim(
                ServiceId.of("bench"),
                CallerId.of("bench"),
                run + "-" + order,
                "fingerprint",
                AttemptId.first(RequestId.of(run + "-" + order)),
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

    /** Counts and times the calls of claims. */
    private final class TimedStore extends DelegatingStore {

        TimedStore() {
            super(store);
        }

        @Override
        public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
            Duration before = clock.elapsed();
            WriteOutcome outcome = super.write(key, value, condition);
            writeTimes.add(clock.elapsed().minus(before));
            return outcome;
        }

        @Override
        void onCall() {
            calls.incrementAndGet();
        }
    }
}
