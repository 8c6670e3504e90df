package org.mangoridge.cli.serving;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.cli.HandbookTable;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpLineStream;

import static com.google.common.truth.Truth.assertThat;

/** Holds the metrics table of the operators' handbook to what an instance gives. */
class MetricsTableTest {

    private static final String TYPE = "# TYPE ";

    @Test
    void theTableHasEveryMetricFromTheStartOn() throws Exception {
        List<String> documented = HandbookTable.rows("reading.md", "| `mangoridge_").stream()
                .map(cells -> cells.get(0).replace("`", "") + " " + cells.get(1))
                .toList();
        try (ServingFixture system = new ServingFixture(1, "prefill", "decode")) {
            assertThat(documented).containsExactlyElementsIn(metrics(system));
            try (HttpLineStream lines = system.open("Summarise the tender.", 3)) {
                while (lines.nextLine(ServingFixture.TIMEOUT).value().isPresent()) {
                    assertThat(lines.status()).isEqualTo(200);
                }
            }
            assertThat(documented).containsExactlyElementsIn(metrics(system));
        }
    }

    @Test
    void eachRowSaysWhatItMeansAndWhatToDo() {
        for (List<String> cells : HandbookTable.rows("reading.md", "| `mangoridge_")) {
            assertThat(cells).hasSize(4);
            cells.forEach(cell -> assertThat(cell).isNotEmpty());
        }
    }

    private static List<String> metrics(ServingFixture system) {
        HttpCall call = HttpCall.get(system.operatorAddress().httpUri("/metrics"), ServingFixture.TIMEOUT);
        return system.transport()
                .send(call)
                .value()
                .text()
                .lines()
                .filter(line -> line.startsWith(TYPE))
                .map(line -> line.substring(TYPE.length()))
                .toList();
    }
}
