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

/** One random schedule of attempts, a store and a server on virtual time; the environment steps are the model's. */
final class ClaimSimulation {

    static final int FAULTS_STOP_MILLIS = 20_000;

    private static final int WRITE_TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 15_000;
    private static final int OVERDUE_MILLIS = 10_000;
    private static final int CRASH_IN = 25;
    private static final int PAUSE_IN = 15;
    private static final int FAULT_IN = 4;

    private record Step(long atMillis, long order, Runnable run) {}

    private final SplittableRandom random;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::order));
    private final List<Order> orders = new ArrayList<>();
    private long nowMillis;
    private long lastStep;
    private long version;
    private int attempts;

    ClaimSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Runs the schedule and returns everything that went wrong. */
    List<String> run() {
        for (int i = 0; i < 2; i++) {
            Order order = new Order(i);
            orders.add(order);
            int count = 2 + random.nextInt(3);
            for (int n = 0; n < count; n++) {
                at(random.nextInt(FAULTS_STOP_MILLIS), () -> new Attempt(order, true).start());
            }
            at(FAULTS_STOP_MILLIS + 2L * LATE_MILLIS, () -> lastRetry(order));
        }
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            nowMillis = step.atMillis();
            step.run().run();
        }
        List<String> wrong = new ArrayList<>();
        orders.forEach(order -> order.check(wrong));
        return wrong;
    }

    private void lastRetry(Order order) {
        if (random.nextBoolean()) {
            order.settle();
        }
        Attempt attempt = new Attempt(order, false);
        order.last = attempt;
        attempt.start();
    }

    private void at(long atMillis, Runnable run) {
        steps.add(new Step(atMillis, lastStep++, run));
    }

    private void after(int fromMillis, int toMillis, Runnable run) {
        at(nowMillis + fromMillis + random.nextInt(toMillis - fromMillis + 1), run);
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    private Instant now() {
        return Instant.EPOCH.plusMillis(nowMillis);
    }

    /** One key of one caller: its claim object and what the server did. */
    private final class Order {

        private final int number;
        private final List<Attempt> all = new ArrayList<>();
        private Claim stored;
        private long storedVersion;
        private int runs;
        private Attempt last;

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
            Attempt holder = all.stream()
                    .filter(attempt -> attempt.claim.attempt().equals(stored.attempt()))
                    .findFirst()
                    .orElseThrow();
            if (holder.ran) {
                write(storedVersion, stored.recorded(RecordedAnswer.notKept()));
            } else if (holder.crashed && !holder.underWay) {
                write(storedVersion, stored.released());
            }
        }

        void check(List<String> wrong) {
            if (runs > 1) {
                wrong.add("runs_at_most_once: order " + number + " ran " + runs + " times");
            }
            all.stream()
                    .filter(attempt -> attempt.ran && attempt.word instanceof ClaimResult.NotRun)
                    .forEach(attempt -> wrong.add("not_run_is_true: " + attempt.claim.attempt()));
            all.forEach(attempt -> attempt.checkAnswer(wrong));
            if (last.word == null || last.word instanceof ClaimResult.InProgress) {
                wrong.add("retry_gets_a_word: order " + number + " was told " + last.word);
            }
        }
    }

    private final class Attempt {

        private final Order order;
        private final boolean faulty;
        private final Claim claim;
        private final ClaimMachine machine;
        private ClaimResult word;
        private boolean crashed;
        private boolean ran;
        private boolean underWay;
        private int dispatches;

        Attempt(Order order, boolean faulty) {
            this.order = order;
            this.faulty = faulty;
            AttemptId id = AttemptId.first(RequestId.of("r-" + attempts++));
            claim = new Claim(
                    ServiceId.of("orderdesk"),
                    CallerId.of("caller-" + order.number),
                    "same-key",
                    "fingerprint",
                    id,
                    "instance/1",
                    ClaimState.CLAIMED,
                    now(),
                    now().plus(Duration.ofMillis(OVERDUE_MILLIS)),
                    Optional.empty());
            machine = ClaimMachine.of(claim);
            order.all.add(this);
        }

        void start() {
            perform(machine.begin());
        }

        private void perform(ClaimAction action) {
            if (faults() && oneIn(CRASH_IN)) {
                crashed = true;
                return;
            }
            if (faults() && oneIn(PAUSE_IN)) {
                after(1, LATE_MILLIS, () -> act(action));
                return;
            }
            act(action);
        }

        private boolean faults() {
            return faulty && nowMillis < FAULTS_STOP_MILLIS;
        }

        private void act(ClaimAction action) {
            switch (action) {
                case ClaimAction.Write write -> write(write);
                case ClaimAction.Read look -> look();
                case ClaimAction.Dispatch dispatch -> dispatch();
                case ClaimAction.BackOff pause -> after(200, 2_000, () -> reply(new ClaimEvent.BackOffElapsed()));
                case ClaimAction.Reply tell -> {
                    word = tell.result();
                    reply(new ClaimEvent.Replied());
                }
                case ClaimAction.Done done -> {}
            }
        }

        private void reply(ClaimEvent event) {
            if (!crashed) {
                perform(machine.on(event, now()));
            }
        }

        private void write(ClaimAction.Write write) {
            if (!faults() || !oneIn(FAULT_IN)) {
                after(1, 20, () -> {
                    ClaimEvent event = order.write(write.expected(), write.value());
                    after(1, 20, () -> reply(event));
                });
                return;
            }
            switch (random.nextInt(4)) {
                case 0 -> after(1, 5, () -> reply(new ClaimEvent.NotWritten()));
                case 1 -> unknown(() -> after(1, 100, () -> order.write(write.expected(), write.value())));
                case 2 -> unknown(() -> after(1, LATE_MILLIS, () -> order.write(write.expected(), write.value())));
                default -> unknown(() -> {});
            }
        }

        private void unknown(Runnable fate) {
            fate.run();
            after(1, WRITE_TIMEOUT_MILLIS, () -> reply(new ClaimEvent.Unknown()));
        }

        private void look() {
            boolean fails = faults() && oneIn(FAULT_IN);
            after(1, 20, () -> {
                ClaimEvent event = fails ? new ClaimEvent.ReadFailed() : order.read();
                after(1, 20, () -> reply(event));
            });
        }

        private void dispatch() {
            dispatches++;
            AttemptProgress stop = faults() && oneIn(2)
                    ? AttemptProgress.values()[random.nextInt(AttemptProgress.values().length)]
                    : AttemptProgress.ANSWER_RECEIVED;
            if (stop.verdict() != Verdict.NOT_RUN) {
                underWay = true;
            }
            if (stop == AttemptProgress.ANSWER_RECEIVED) {
                after(1, 500, () -> {
                    runAtServer();
                    after(1, 500, () -> reply(new ClaimEvent.Answered(answer())));
                });
            } else if (stop.verdict() == Verdict.RAN) {
                runAtServer();
                after(1, 500, () -> reply(new ClaimEvent.Stopped(stop)));
            } else {
                if (stop.verdict() == Verdict.MAY_HAVE_RUN && random.nextBoolean()) {
                    after(1, LATE_MILLIS, this::runAtServer);
                } else {
                    underWay = false;
                }
                after(1, 500, () -> reply(new ClaimEvent.Stopped(stop)));
            }
        }

        private void runAtServer() {
            underWay = false;
            ran = true;
            order.runs++;
        }

        private RecordedAnswer answer() {
            String text = "order " + order.number + " by " + claim.attempt();
            return RecordedAnswer.of(201, "text/plain", text.getBytes(StandardCharsets.UTF_8));
        }

        private void checkAnswer(List<String> wrong) {
            RecordedAnswer given =
                    switch (word) {
                        case ClaimResult.Completed fresh -> fresh.answer();
                        case ClaimResult.Replayed replayed -> replayed.answer();
                        case null, default -> RecordedAnswer.notKept();
                    };
            if (dispatches > 1) {
                wrong.add("dispatched " + dispatches + " times: " + claim.attempt());
            }
            String text = new String(given.body(), StandardCharsets.UTF_8);
            boolean fromRunner = order.all.stream()
                    .anyMatch(attempt ->
                            attempt.ran && text.equals("order " + order.number + " by " + attempt.claim.attempt()));
            if (given.kept() && !fromRunner) {
                wrong.add("crossed answer: order " + order.number + " was given: " + text);
            }
        }
    }
}
