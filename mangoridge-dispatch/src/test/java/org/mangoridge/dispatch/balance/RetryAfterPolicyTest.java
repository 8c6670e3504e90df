package org.mangoridge.dispatch.balance;

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

    private static final Duration REMAINING = Duration.ofSeconds(11);

    private final RetryAfterPolicy policy = RetryAfterPolicy.create();
    private final SplittableRandom random = new SplittableRandom(1);

    private static Duration millis(long value) {
        return Duration.ofMillis(value);
    }

    @Test
    void rareRefusalsHaveShortDelays() {
        for (int i = 0; i < 100; i++) {
            policy.recordServed(millis(10 * i));
        }
        assertThat(policy.recordRefused(REMAINING, random, millis(1000))).isLessThan(millis(1700));
    }

    @Test
    void theDelayIsAtMostHalfOfTheRemainingTime() {
        for (int i = 0; i < 100; i++) {
            assertThat(policy.recordRefused(Duration.ofSeconds(2), random, millis(i)))
                    .isAtMost(Duration.ofSeconds(1));
        }
    }

    private record Caller(long at, boolean isRetry) implements Comparable<Caller> {
        @Override
        public int compareTo(Caller other) {
            return Long.compare(at, other.at);
        }
    }

    /** How the Retry-After delay of a refused caller is determined. */
    private interface RetryDelay {
        Duration refused(Duration now);

        void served(Duration now);
    }

    /** Returns how many callers are refused twice when four seconds have {@code burst} times the usual load. */
    private long refusedTwice(double burst, RetryDelay retryDelay) {
        PriorityQueue<Caller> callers = new PriorityQueue<>();
        for (double at = 0; at < 20_000; at += at >= 4000 && at < 8000 ? 10 / burst : 10) {
            callers.add(new Caller((long) at, false));
        }
        Deque<Caller> waiting = new ArrayDeque<>();
        long refusedTwice = 0;
        for (long now = 0; now < 30_000; now += 8) {
            while (!callers.isEmpty() && callers.peek().at() <= now) {
                waiting.add(callers.poll());
            }
            // Capacity for one request is free every 8 ms; callers that have waited for 2.5 s are refused.
            while (!waiting.isEmpty() && now - waiting.peek().at() > 2500) {
                Caller caller = waiting.poll();
                Duration delay = retryDelay.refused(millis(now));
                if (caller.isRetry()) {
                    refusedTwice++;
                } else {
                    callers.add(new Caller(now + delay.toMillis(), true));
                }
            }
            if (!waiting.isEmpty()) {
                waiting.poll();
                retryDelay.served(millis(now));
            }
        }
        return refusedTwice;
    }

    @ParameterizedTest
    @ValueSource(doubles = {2.3, 3})
    void adaptiveJitterReducesRepeatedRefusalsAfterABurst(double burst) {
        long fixedJitter = refusedTwice(burst, new RetryDelay() {
            @Override
            public Duration refused(Duration now) {
                return millis(400 + random.nextInt(1200));
            }

            @Override
            public void served(Duration now) {
                // The fixed jitter does not depend on served requests.
            }
        });
        long adaptiveJitter = refusedTwice(burst, new RetryDelay() {
            @Override
            public Duration refused(Duration now) {
                return policy.recordRefused(REMAINING, random, now);
            }

            @Override
            public void served(Duration now) {
                policy.recordServed(now);
            }
        });
        System.out.println("burst " + burst + ": refused twice " + fixedJitter + " with fixed jitter, " + adaptiveJitter
                + " with adaptive jitter");
        assertThat(adaptiveJitter).isLessThan(fixedJitter);
    }
}
