package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class RetryAfterPolicyTest {

    private static final Duration LEFT = Duration.ofSeconds(11);

    private final RetryAfterPolicy times = RetryAfterPolicy.create();
    private final SplittableRandom random = new SplittableRandom(1);

    private static Duration millis(long value) {
        return Duration.ofMillis(value);
    }

    @Test
    void aRareRefusalReturnsSoon() {
        for (int i = 0; i < 100; i++) {
            times.recordServed(millis(10 * i));
        }
        assertThat(times.recordRefused(LEFT, random, millis(1000))).isLessThan(millis(1700));
    }

    @Test
    void nobodyIsSentAwayForMostOfTheTimeLeft() {
        for (int i = 0; i < 100; i++) {
            assertThat(times.recordRefused(Duration.ofSeconds(2), random, millis(i)))
                    .isAtMost(Duration.ofSeconds(1));
        }
    }

    private record Caller(long at, boolean again) implements Comparable<Caller> {
        @Override
        public int compareTo(Caller other) {
            return Long.compare(at, other.at);
        }
    }

    /** Who returns when, in a burst of two to three times the usual load for four seconds. */
    private interface Away {
        Duration refused(Duration now);

        void served(Duration now);
    }

    private long refusedAgain(double burst, Away away) {
        PriorityQueue<Caller> callers = new PriorityQueue<>();
        for (double at = 0; at < 20_000; at += at >= 4000 && at < 8000 ? 10 / burst : 10) {
            callers.add(new Caller((long) at, false));
        }
        Deque<Caller> waiting = new ArrayDeque<>();
        long lost = 0;
        for (long now = 0; now < 30_000; now += 8) {
            while (!callers.isEmpty() && callers.peek().at() <= now) {
                waiting.add(callers.poll());
            }
            // Room comes every 8 ms; who has waited for 2.5 s is refused.
            while (!waiting.isEmpty() && now - waiting.peek().at() > 2500) {
                Caller caller = waiting.poll();
                Duration stays = away.refused(millis(now));
                if (caller.again()) {
                    lost++;
                } else {
                    callers.add(new Caller(now + stays.toMillis(), true));
                }
            }
            if (!waiting.isEmpty()) {
                waiting.poll();
                away.served(millis(now));
            }
        }
        return lost;
    }

    @ParameterizedTest
    @ValueSource(doubles = {2.3, 3})
    void aRefusedBurstReturnsWhenThereIsRoomAgain(double burst) {
        long together = refusedAgain(burst, new Away() {
            @Override
            public Duration refused(Duration now) {
                return millis(400 + random.nextInt(1200));
            }

            @Override
            public void served(Duration now) {
                // A fixed spread does not learn.
            }
        });
        long spread = refusedAgain(burst, new Away() {
            @Override
            public Duration refused(Duration now) {
                return times.recordRefused(LEFT, random, now);
            }

            @Override
            public void served(Duration now) {
                times.recordServed(now);
            }
        });
        System.out.println("burst " + burst + ": refused again " + together + " together, " + spread + " spread");
        assertThat(spread).isLessThan(together);
    }
}
