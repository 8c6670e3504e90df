package org.mangoridge.standin.engine;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.engine.EngineMessages.OrderRequest;
import org.mangoridge.standin.engine.EngineOrders.Outcome;

import static com.google.common.truth.Truth.assertThat;

class EngineOrdersTest {

    private static final EngineProfile PROFILE = EngineProfile.of("decode", "m", "1");

    @ParameterizedTest
    @CsvSource({"true, false, STALE_FENCING", "true, true, STARTED", "false, false, STARTED"})
    void staleFencingNumberIsRefusedIfChecked(boolean checks, boolean fault, Outcome expected) {
        EngineOrders orders = new EngineOrders(PROFILE.withFencingCheck(checks));
        assertThat(orders.submit(role("a", 7, "both"), false, 1, Duration.ZERO)).isEqualTo(Outcome.STARTED);
        assertThat(orders.submit(role("b", 6, "prefill"), fault, 1, Duration.ZERO))
                .isEqualTo(expected);
    }

    @Test
    void modelLoadTakesTimeAndDuplicatesAreIgnored() {
        EngineOrders orders = new EngineOrders(PROFILE);
        OrderRequest load = new OrderRequest("a", 1, "load-model", "n", "2", null);
        assertThat(orders.submit(load, false, 1, Duration.ZERO)).isEqualTo(Outcome.STARTED);
        assertThat(orders.submit(load, false, 1, Duration.ofMillis(10))).isEqualTo(Outcome.DUPLICATE);
        assertThat(orders.submit(role("b", 1, "both"), false, 1, Duration.ofMillis(10)))
                .isEqualTo(Outcome.BUSY);
        assertThat(orders.state(Duration.ofMillis(1999)).busy()).isTrue();
        assertThat(orders.state(Duration.ofMillis(1999)).model()).isEqualTo("m");
        assertThat(orders.state(Duration.ofMillis(2000)).model()).isEqualTo("n");
        assertThat(orders.state(Duration.ofMillis(2000)).lastOrder()).isEqualTo("a");
        assertThat(orders.submit(load, false, 1, Duration.ofMillis(3000))).isEqualTo(Outcome.DUPLICATE);
    }

    @Test
    void anUnknownOrderIsRefused() {
        EngineOrders orders = new EngineOrders(PROFILE);
        assertThat(orders.submit(role("a", 1, "juggle"), false, 1, Duration.ZERO))
                .isEqualTo(Outcome.MALFORMED);
    }

    private static OrderRequest role(String id, long fencing, String role) {
        return new OrderRequest(id, fencing, "change-role", null, null, role);
    }
}
