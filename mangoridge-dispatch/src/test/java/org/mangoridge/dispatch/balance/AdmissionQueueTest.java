package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.dispatch.balance.AdmissionQueue.Waiter;

import static com.google.common.truth.Truth.assertThat;

class AdmissionQueueTest {

    private final AdmissionQueue<String> queue = AdmissionQueue.create(4);

    private static Waiter<String> waiter(String name, int priority, int arrived) {
        return new Waiter<>(name, priority, millis(arrived), millis(arrived + 900), millis(arrived + 2500));
    }

    private static Duration millis(int value) {
        return Duration.ofMillis(value);
    }

    private List<String> order(int now) {
        return queue.inPlacementOrder(millis(now)).stream().map(Waiter::item).toList();
    }

    /** After a burst, requests that can still be on time come before those that will be late anyway. */
    @Test
    void requestsOnTimeComeBeforeLateOnes() {
        queue.offer(waiter("late", 1, 0));
        queue.offer(waiter("on time", 1, 800));
        assertThat(order(1000)).containsExactly("on time", "late").inOrder();
    }

    @Test
    void onTimeRequestsAreOrderedByPriorityThenDeadline() {
        queue.offer(waiter("second", 1, 10));
        queue.offer(waiter("first", 1, 0));
        queue.offer(waiter("urgent", 0, 20));
        assertThat(order(30)).containsExactly("urgent", "first", "second").inOrder();
    }

    @Test
    void lateRequestsAreOrderedByArrival() {
        queue.offer(waiter("newer", 0, 100));
        queue.offer(waiter("older", 1, 0));
        assertThat(order(2000)).containsExactly("older", "newer").inOrder();
    }

    @Test
    void aFullQueueRejectsRequests() {
        for (int i = 0; i < 4; i++) {
            assertThat(queue.offer(waiter("w" + i, 1, i))).isTrue();
        }
        assertThat(queue.offer(waiter("more", 0, 9))).isFalse();
    }

    @Test
    void requestsExpireWhenTheirWaitHasPassed() {
        queue.offer(waiter("old", 1, 0));
        queue.offer(waiter("new", 1, 100));
        assertThat(queue.expire(millis(2500))).hasSize(1);
        assertThat(order(2500)).containsExactly("new");
    }
}
