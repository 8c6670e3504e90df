package org.mangoridge.claims.protocol;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;

/**
 * One random schedule of attempts, a store and a server on virtual time.
 *
 * <p>The faults are the environment steps of {@code spec/claims.pml}.
 */
final class ClaimSimulation {

    static final int FAULTS_END_MILLIS = 20_000;

    private static final int WRITE_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_DELAY_MILLIS = 15_000;
    private static final int CLAIM_OVERDUE_AFTER_MILLIS = 10_000;
    /** One action in this many crashes, pauses or meets a store fault, on average. */
    private static final int CRASH_ODDS = 25;

    private static final int PAUSE_ODDS = 15;
    private static final int FAULT_ODDS = 4;

    private record Step(long atMillis, long sequence, Runnable run) {}

    private final SplittableRandom random;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::sequence));
    private final List<Order> orders = new ArrayList<>();
    private long nowMillis;
    private long nextSequence;
    private long version;
    private int attemptCount;

    ClaimSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Runs the schedule and returns the properties that it violated. */
    List<String> run() {
        for (int i = 0; i < 2; i++) {
            Order order = new Order(i);
            orders.add(order);
            int count = 2 + random.nextInt(3);
            for (int n = 0; n < count; n++) {
                schedule(random.nextInt(FAULTS_END_MILLIS), () -> new Attempt(order, true).start());
            }
            schedule(FAULTS_END_MILLIS + 2L * MAX_DELAY_MILLIS, () -> finalRetry(order));
        }
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            nowMillis = step.atMillis();
            step.run().run();
        }
        List<String> violations = new ArrayList<>();
        orders.forEach(order -> order.check(violations));
        return violations;
    }

    private void finalRetry(Order order) {
        if (random.nextBoolean()) {
            order.settle();
        }
        Attempt attempt = new Attempt(order, false);
        order.finalAttempt = attempt;
        attempt.start();
    }

    private void schedule(long atMillis, Runnable run) {
        steps.add(new Step(atMillis, nextSequence++, run));
    }

    private void after(int fromMillis, int toMillis, Runnable run) {
        schedule(nowMillis + fromMillis + random.nextInt(toMillis - fromMillis + 1), run);
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    private Instant now() {
        return Instant.EPOCH.plusMillis(nowMillis);
    }

    /** One idempotency key of one caller, with its claim object and the number of times that the server ran the call. */
    private final class Order {

        private final int number;
        private final List<Attempt> attempts = new ArrayList<>();
        private Claim stored;
        private long storedVersion;
        private int runs;
        private Attempt finalAttempt;

        Order(int number) {
            this.number = number;
        }

        ClaimEvent write(long expected, Claim value) {
            if (expected != storedVersion) {
                return new ClaimEvent.Conflict();
            }
            stored = value;
            storedVersion = ++version;
            return new ClaimEvent.Written(version);
        }

        ClaimEvent read() {
            return new ClaimEvent.Read(Optional.ofNullable(stored).map(claim -> new StoredClaim(storedVersion, claim)));
        }

        void settle() {
            if (stored == null || stored.state() != ClaimState.CLAIMED) {
                return;
            }
            Attempt holder = attempts.stream()
                    .filter(attempt -> attempt.claim.attempt().equals(stored.attempt()))
                    .findFirst()
                    .orElseThrow();
            if (holder.ran) {
                write(storedVersion, stored.recorded(RecordedAnswer.notKept()));
            } else if (holder.crashed && !holder.inFlight) {
                write(storedVersion, stored.released());
            }
        }

        void check(List<String> violations) {
            if (runs > 1) {
                violations.add("runs_at_most_once: order " + number + " ran " + runs + " times");
            }
            attempts.stream()
                    .filter(attempt -> attempt.ran && attempt.result instanceof ClaimResult.NotRun)
                    .forEach(attempt -> violations.add("not_run_is_true: " + attempt.claim.attempt()));
            attempts.forEach(attempt -> attempt.checkAnswer(violations));
            if (finalAttempt.result == null || finalAttempt.result instanceof ClaimResult.InProgress) {
                violations.add("retry_gets_a_word: order " + number + " got " + finalAttempt.result);
            }
        }
    }

    private final class Attempt {

        private final Order order;
        private final boolean faulty;
        private final Claim claim;
        private final ClaimMachine machine;
        private ClaimResult result;
        private boolean crashed;
        private boolean ran;
        private boolean inFlight;
        private int dispatches;

        Attempt(Order order, boolean faulty) {
            this.order = order;
            this.faulty = faulty;
            AttemptId id = AttemptId.first(RequestId.of("r-" + attemptCount++));
            claim = new Claim(
                    ServiceId.of("orderdesk"),
                    CallerId.of("caller-" + order.number),
                    "same-key",
                    "fingerprint",
                    id,
                    "instance/1",
                    ClaimState.CLAIMED,
                    now(),
                    now().plus(Duration.ofMillis(CLAIM_OVERDUE_AFTER_MILLIS)),
                    Optional.empty());
            machine = ClaimMachine.of(claim);
            order.attempts.add(this);
        }

        void start() {
            perform(machine.begin());
        }

        private void perform(ClaimAction action) {
            if (hasFaults() && oneIn(CRASH_ODDS)) {
                crashed = true;
                return;
            }
            if (hasFaults() && oneIn(PAUSE_ODDS)) {
                after(1, MAX_DELAY_MILLIS, () -> execute(action));
                return;
            }
            execute(action);
        }

        private boolean hasFaults() {
            return faulty && nowMillis < FAULTS_END_MILLIS;
        }

        private void execute(ClaimAction action) {
            switch (action) {
                case ClaimAction.Write write -> write(write);
                case ClaimAction.Read read -> read();
                case ClaimAction.Dispatch dispatch -> dispatch();
                case ClaimAction.BackOff backOff -> after(200, 2_000, () -> handle(new ClaimEvent.BackOffElapsed()));
                case ClaimAction.Reply reply -> {
                    result = reply.result();
                    handle(new ClaimEvent.Replied());
                }
                case ClaimAction.Done done -> {}
            }
        }

        private void handle(ClaimEvent event) {
            if (!crashed) {
                perform(machine.on(event, now()));
            }
        }

        private void write(ClaimAction.Write write) {
            if (!hasFaults() || !oneIn(FAULT_ODDS)) {
                after(1, 20, () -> {
                    ClaimEvent event = order.write(write.expected(), write.value());
                    after(1, 20, () -> handle(event));
                });
                return;
            }
            switch (random.nextInt(4)) {
                case 0 -> after(1, 5, () -> handle(new ClaimEvent.NotWritten()));
                case 1 -> unknown(() -> after(1, 100, () -> order.write(write.expected(), write.value())));
                case 2 -> unknown(() -> after(1, MAX_DELAY_MILLIS, () -> order.write(write.expected(), write.value())));
                default -> unknown(() -> {});
            }
        }

        private void unknown(Runnable effect) {
            effect.run();
            after(1, WRITE_TIMEOUT_MILLIS, () -> handle(new ClaimEvent.Unknown()));
        }

        private void read() {
            boolean fails = hasFaults() && oneIn(FAULT_ODDS);
            after(1, 20, () -> {
                ClaimEvent event = fails ? new ClaimEvent.ReadFailed() : order.read();
                after(1, 20, () -> handle(event));
            });
        }

        private void dispatch() {
            dispatches++;
            AttemptProgress progress = hasFaults() && oneIn(2)
                    ? AttemptProgress.values()[random.nextInt(AttemptProgress.values().length)]
                    : AttemptProgress.ANSWER_RECEIVED;
            if (progress.verdict() != Verdict.NOT_RUN) {
                inFlight = true;
            }
            if (progress == AttemptProgress.ANSWER_RECEIVED) {
                after(1, 500, () -> {
                    runAtServer();
                    after(1, 500, () -> handle(new ClaimEvent.Answered(answer())));
                });
            } else if (progress.verdict() == Verdict.RAN) {
                runAtServer();
                after(1, 500, () -> handle(new ClaimEvent.Stopped(progress)));
            } else {
                if (progress.verdict() == Verdict.MAY_HAVE_RUN && random.nextBoolean()) {
                    after(1, MAX_DELAY_MILLIS, this::runAtServer);
                } else {
                    inFlight = false;
                }
                after(1, 500, () -> handle(new ClaimEvent.Stopped(progress)));
            }
        }

        private void runAtServer() {
            inFlight = false;
            ran = true;
            order.runs++;
        }

        private RecordedAnswer answer() {
            String text = "order " + order.number + " by " + claim.attempt();
            return RecordedAnswer.of(201, "text/plain", text.getBytes(StandardCharsets.UTF_8));
        }

        private void checkAnswer(List<String> violations) {
            RecordedAnswer given =
                    switch (result) {
                        case ClaimResult.Completed completed -> completed.answer();
                        case ClaimResult.Replayed replayed -> replayed.answer();
                        case null, default -> RecordedAnswer.notKept();
                    };
            if (dispatches > 1) {
                violations.add("dispatched " + dispatches + " times: " + claim.attempt());
            }
            String text = new String(given.body(), StandardCharsets.UTF_8);
            boolean ranHere = order.attempts.stream()
                    .anyMatch(attempt ->
                            attempt.ran && text.equals("order " + order.number + " by " + attempt.claim.attempt()));
            if (given.kept() && !ranHere) {
                violations.add("answer of another call: order " + order.number + " got: " + text);
            }
        }
    }
}
