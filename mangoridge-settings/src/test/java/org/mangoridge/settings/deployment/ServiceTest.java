package org.mangoridge.settings.deployment;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.ServiceId;

import static com.google.common.truth.Truth.assertThat;

class ServiceTest {

    private static final String CONFIG = """
            [service orderdesk]
            kind = plain
            idempotent-methods = GET, POST /prices
            """;

    @ParameterizedTest
    @CsvSource({
        "GET, /stock/chalk, true",
        "POST, /prices, true",
        "POST, /prices/today, true",
        "POST, /prices-of-orders, false",
        "POST, /orders, false",
        "PUT, /prices, false"
    })
    void onlyNamedCallsMayBeRepeated(String method, String path, boolean expected) {
        Service service = DeploymentParser.parseText("test", CONFIG)
                .value()
                .service(ServiceId.of("orderdesk"))
                .orElseThrow();
        assertThat(service.isIdempotent(method, path)).isEqualTo(expected);
    }
}
