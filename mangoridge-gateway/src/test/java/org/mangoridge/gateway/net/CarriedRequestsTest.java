package org.mangoridge.gateway.net;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.RequestId;

import static com.google.common.truth.Truth.assertThat;

class CarriedRequestsTest {

    @Test
    void knowsEachRequestUntilItIsFull() {
        CarriedRequests carried = new CarriedRequests();
        for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
            assertThat(carried.isFull()).isFalse();
            carried.add(RequestId.of("r-" + i));
        }
        assertThat(carried.isFull()).isTrue();
        for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
            assertThat(carried.mayContain(RequestId.of("r-" + i))).isTrue();
        }
        assertThat(carried.mayContain(RequestId.of("other"))).isFalse();
    }
}
