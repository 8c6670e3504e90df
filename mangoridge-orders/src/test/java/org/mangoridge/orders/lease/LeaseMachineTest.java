package org.mangoridge.orders.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class LeaseMachineTest {

    private static final LeaseTiming TIMING = new LeaseTiming(
            Duration.ofSeconds(90), Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(60), 5);

    /** The lease object, with conditional writes. */
    private static final class FakeStore {

        private LeaseRecord record;
        private long version;
        private long era;

        private Optional<LeaseEvent.StoredLease> read() {
            return record == null ? Optional.empty() : Optional.of(new LeaseEvent.StoredLease(record, version));
        }

        private WriteOutcome write(LeaseAction.WriteLease write) {
            boolean isMet =
                    switch (write.condition()) {
                        case Precondition.Absent absent -> record == null;
                        case Precondition.AtVersion at -> record != null && at.version() == version;
                    };
            if (!isMet) {
                return new WriteOutcome.Conflict();
            }
            record = write.record();
            return new WriteOutcome.Written(++version);
        }
    }

    private final FakeStore store = new FakeStore();

    private static LeaseMachine machine(String name) {
        return LeaseMachine.create(new Owner(InstanceId.of(name), Incarnation.of(1)), TIMING);
    }

    /** Sends a tick to a machine and answers its actions at once. */
    private void run(LeaseMachine machine, Duration now) {
        Optional<LeaseAction> action = machine.on(new LeaseEvent.Tick(true), now);
        while (action.isPresent()) {
            action = machine.on(answer(action.get()), now);
        }
    }

    private LeaseEvent answer(LeaseAction action) {
        return switch (action) {
            case LeaseAction.ReadLease read -> new LeaseEvent.LeaseRead(store.read(), store.era);
            case LeaseAction.WriteLease write -> new LeaseEvent.WriteFinished(store.write(write));
        };
    }

    private static Duration seconds(long count) {
        return Duration.ofSeconds(count);
    }

    @Test
    void aSecondCandidateWaitsForLeaseExpiryAndThenForTheMaximumOrderDuration() {
        LeaseMachine first = machine("a");
        LeaseMachine second = machine("b");
        run(first, seconds(0));
        run(second, seconds(1));
        assertThat(second.tenure(seconds(1))).isEmpty();
        run(second, seconds(91));
        assertThat(second.tenure(seconds(91))).isEmpty();
        run(second, seconds(102));
        Tenure tenure = second.tenure(seconds(102)).orElseThrow();
        assertThat(tenure.fencing().value()).isEqualTo(2);
        assertThat(first.tenure(seconds(102))).isEmpty();
        assertThat(tenure.coversUnfencedOrder(seconds(120), TIMING.maxOrderDuration()))
                .isFalse();
        assertThat(tenure.coversFencedOrder(seconds(120))).isTrue();
    }

    @Test
    void aReleasedLeaseIsTakenAtOnce() {
        LeaseMachine first = machine("a");
        LeaseMachine second = machine("b");
        run(first, seconds(0));
        Optional<LeaseAction> action = first.on(new LeaseEvent.Release(), seconds(5));
        first.on(answer(action.orElseThrow()), seconds(5));
        run(second, seconds(6));
        Tenure tenure = second.tenure(seconds(6)).orElseThrow();
        assertThat(tenure.coversUnfencedOrder(seconds(6), TIMING.maxOrderDuration()))
                .isTrue();
    }

    @Test
    void aRenewalWhoseAnswerIsLostExtendsTheTenure() {
        LeaseMachine holder = machine("a");
        run(holder, seconds(0));
        LeaseAction renewal = holder.on(new LeaseEvent.Tick(true), seconds(10)).orElseThrow();
        store.write((LeaseAction.WriteLease) renewal);
        holder.on(new LeaseEvent.WriteFinished(new WriteOutcome.Unknown("lost")), seconds(12));
        run(holder, seconds(22));
        assertThat(holder.tenure(seconds(95))).isPresent();
    }

    @Test
    void aGreaterFencingTokenSeenAtAnEngineEndsTheTenure() {
        LeaseMachine holder = machine("a");
        run(holder, seconds(0));
        holder.on(new LeaseEvent.FencingSeen(7), seconds(1));
        assertThat(holder.tenure(seconds(1))).isEmpty();
        run(holder, seconds(11));
        assertThat(holder.tenure(seconds(11)).orElseThrow().fencing().value()).isEqualTo(8);
    }

    /** A write that takes effect in the store at second {@code at}. */
    private record DelayedWrite(LeaseAction.WriteLease write, long at) {}

    /** An answer that reaches its machine at second {@code at}. */
    private record LateAnswer(LeaseMachine machine, LeaseEvent event, long at) {}

    private final List<LateAnswer> lateAnswers = new ArrayList<>();

    private void deliverLateAnswers(long second) {
        List<LateAnswer> due =
                lateAnswers.stream().filter(late -> late.at() <= second).toList();
        lateAnswers.removeAll(due);
        due.forEach(late -> late.machine().on(late.event(), seconds(second)));
    }

    /** Runs three candidates with lost and late answers, late writes, unreachable stores and paused holders. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void unfencedOrdersOfTwoHoldersNeverOverlap(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LeaseMachine> machines = List.of(machine("a"), machine("b"), machine("c"));
        long[] pausedUntil = new long[machines.size()];
        List<DelayedWrite> delayedWrites = new ArrayList<>();
        int lastSender = -1;
        long lastOrderEndSecond = 0;
        long highestFencing = 0;
        int holderChanges = 0;
        for (long second = 0; second < 6000; second++) {
            long at = second;
            delayedWrites.removeIf(late -> {
                if (late.at() <= at) {
                    store.write(late.write());
                }
                return late.at() <= at;
            });
            deliverLateAnswers(second);
            long holders = machines.stream()
                    .filter(machine -> machine.tenure(seconds(at)).isPresent())
                    .count();
            assertWithMessage("holders, seed " + seed + " second " + second)
                    .that(holders)
                    .isAtMost(1);
            for (int i = 0; i < machines.size(); i++) {
                if (pausedUntil[i] > second) {
                    continue;
                }
                if (random.nextInt(200) == 0) {
                    pausedUntil[i] = second + random.nextInt(200);
                    continue;
                }
                step(machines.get(i), seconds(second), random, delayedWrites);
                Optional<Tenure> tenure = machines.get(i).tenure(seconds(second));
                if (tenure.isEmpty() || !tenure.get().coversUnfencedOrder(seconds(second), TIMING.maxOrderDuration())) {
                    continue;
                }
                if (lastSender != i) {
                    String message = "seed " + seed + " second " + second + " from " + lastSender + " to " + i;
                    assertWithMessage(message).that(second).isAtLeast(lastOrderEndSecond);
                    holderChanges++;
                }
                assertWithMessage("seed " + seed)
                        .that(tenure.get().fencing().value())
                        .isAtLeast(highestFencing);
                highestFencing = tenure.get().fencing().value();
                lastSender = i;
                lastOrderEndSecond = second + TIMING.maxOrderDuration().toSeconds();
            }
        }
        assertWithMessage("seed " + seed).that(holderChanges).isAtLeast(2);
    }

    private void step(LeaseMachine machine, Duration now, SplittableRandom random, List<DelayedWrite> delayedWrites) {
        Optional<LeaseAction> action = machine.on(new LeaseEvent.Tick(true), now);
        while (action.isPresent()) {
            LeaseEvent answer = faultyAnswer(action.get(), now, random, delayedWrites);
            if (action.get() instanceof LeaseAction.WriteLease && random.nextInt(5) == 0) {
                lateAnswers.add(new LateAnswer(machine, answer, now.toSeconds() + 1 + random.nextInt(40)));
                return;
            }
            action = machine.on(answer, now);
        }
    }

    private LeaseEvent faultyAnswer(
            LeaseAction action, Duration now, SplittableRandom random, List<DelayedWrite> delayedWrites) {
        int fault = random.nextInt(10);
        return switch (action) {
            case LeaseAction.ReadLease read when fault == 0 -> new LeaseEvent.ReadFailed();
            case LeaseAction.WriteLease write
            when fault == 0 -> {
                store.write(write);
                yield new LeaseEvent.WriteFinished(new WriteOutcome.Unknown("answer lost"));
            }
            case LeaseAction.WriteLease write
            when fault == 1 -> {
                delayedWrites.add(new DelayedWrite(write, now.toSeconds() + random.nextInt(120)));
                yield new LeaseEvent.WriteFinished(new WriteOutcome.Unknown("late"));
            }
            case LeaseAction.WriteLease write
            when fault == 2 -> new LeaseEvent.WriteFinished(new WriteOutcome.NotWritten("down"));
            default -> answer(action);
        };
    }

    /** The store loses a takeover that it acknowledged; the next holder must not get the same token. */
    @Test
    void aFencingTokenIsNotGivenAgainAfterTheStoreWasRestored() {
        LeaseMachine first = machine("a");
        run(first, seconds(1));
        LeaseMachine second = machine("b");
        long lost = first.tenure(seconds(1)).orElseThrow().fencing().value();
        store.record = null;
        store.version = 0;
        store.era = 1;
        first.on(new LeaseEvent.Invalidated(), seconds(2));
        assertThat(first.tenure(seconds(2))).isEmpty();
        run(second, seconds(2));
        assertThat(second.tenure(seconds(2)).orElseThrow().fencing().value()).isGreaterThan(lost);
    }

    /** The store was restored while a write was in flight, and gave out the version that the write depends on. */
    @Test
    void aWriteInFlightDuringARestoreStartsNoTenure() {
        LeaseMachine machine = machine("a");
        Optional<LeaseAction> read = machine.on(new LeaseEvent.Tick(true), seconds(1));
        LeaseAction write = machine.on(answer(read.orElseThrow()), seconds(1)).orElseThrow();
        LeaseEvent written = answer(write);
        machine.on(new LeaseEvent.Invalidated(), seconds(1));
        machine.on(written, seconds(1));
        assertThat(machine.tenure(seconds(1))).isEmpty();
    }
}
