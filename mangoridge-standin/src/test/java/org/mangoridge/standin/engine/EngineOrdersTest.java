package org.mangoridge.standin.engine;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.engine.EngineMessages.OrderRequest;
import org.mangoridge.standin.engine.EngineOrders.Taken;

import static com.google.common.truth.Truth.assertThat;

class EngineOrdersTest {

    private static final EngineProfile PROFILE = EngineProfile.of("decode", "m", "1");

    @ParameterizedTest
    @CsvSource({"true, false, OLD_FENCING", "true, true, BEGUN", "false, false, BEGUN"})
    void anOldFencingNumberIsRefusedByThoseThatCheck(boolean checks, boolean fault, Taken expected) {
        EngineOrders orders = new EngineOrders(PROFILE.withFencingCheck(checks));
        assertThat(orders.take(role("a", 7, "both"), false, 1, Duration.ZERO)).isEqualTo(Taken.BEGUN);
        assertThat(orders.take(role("b", 6, "prefill"), fault, 1, Duration.ZERO))
                .isEqualTo(expected);
    }

    @Test
    void aLoadTakesTimeAndRepeatsChangeNothing() {
        EngineOrders orders = new EngineOrders(PROFILE);
        OrderRequest load = new OrderRequest("a", 1, "load-model", "n", "2", null);
        assertThat(orders.take(load, false, 1, Duration.ZERO)).isEqualTo(Taken.BEGUN);
        assertThat(orders.take(load, false, 1, Duration.ofMillis(10))).isEqualTo(Taken.REPEATED);
        assertThat(orders.take(role("b", 1, "both"), false, 1, Duration.ofMillis(10)))
                .isEqualTo(Taken.BUSY);
        assertThat(orders.state(Duration.ofMillis(1999)).busy()).isTrue();
        assertThat(orders.state(Duration.ofMillis(1999)).model()).isEqualTo("m");
        assertThat(orders.state(Duration.ofMillis(2000)).model()).isEqualTo("n");
        assertThat(orders.state(Duration.ofMillis(2000)).lastOrder()).isEqualTo("a");
        assertThat(orders.take(load, false, 1, Duration.ofMillis(3000))).isEqualTo(Taken.REPEATED);
    }

    @Test
    void anUnknownOrderIsRefused() {
        EngineOrders orders = new EngineOrders(PROFILE);
        assertThat(orders.take(role("a", 1, "juggle"), false, 1, Duration.ZERO)).isEqualTo(Taken.MALFORMED);
    }

    private static OrderRequest role(String id, long fencing, String role) {
        return new OrderRequest(id, fencing, "change-role", null, null, role);
    }
}
