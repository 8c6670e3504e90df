package org.mangoridge.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.bench.measure.ClassResult;
import org.mangoridge.bench.measure.PolicyResult;
import org.mangoridge.bench.scenario.Scenario;
import org.mangoridge.bench.scenario.SegmentTimes;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.http.Json;
import org.mangoridge.routing.PolicyName;

import static com.google.common.truth.Truth.assertThat;

/** A short run over loopback, checked for its accounting and not for its speed. */
class SegmentTest {

    private static final double LIGHT_LOAD = 0.3;
    private static final SegmentTimes TIMES = SegmentTimes.of(Duration.ofSeconds(2));

    @ParameterizedTest
    @EnumSource
    void everyRequestIsAccountedForOnce(PolicyName policy) throws InterruptedException {
        PolicyResult result =
                new Segment(Scenario.CHALK_PEAK, LIGHT_LOAD, TIMES, SystemClock.instance()).run(policy, 5);
        int offered = 0;
        for (ClassResult sums : result.classes().values()) {
            assertThat(sums.offered()).isEqualTo(sums.goodput() + sums.late() + sums.refused());
            assertThat(sums.late()).isAtLeast(sums.cut() + sums.wrong());
            assertThat(sums.refusals().count()).isEqualTo(sums.refused());
            assertThat(sums.falseNotRun()).isAtMost(sums.refused());
            assertThat(sums.bound()).isAtMost(sums.offered());
            assertThat(sums.wrong()).isEqualTo(0);
            offered += sums.offered();
        }
        assertThat(offered).isGreaterThan(0);
        assertThat(result.sentLate().count()).isEqualTo(offered);
        assertThat(result.engines().prefillTokens()).isAtLeast(result.engines().wastedPrefillTokens());
        printsOneObjectALine(policy, result);
    }

    private static void printsOneObjectALine(PolicyName policy, PolicyResult result) {
        BenchOptions options = new BenchOptions(Scenario.CHALK_PEAK, 5, Duration.ofSeconds(2), List.of(policy));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        new BenchReport(options, new PrintStream(bytes, true, StandardCharsets.UTF_8))
                .printJson(Map.of(policy, result));
        List<String> lines = bytes.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(2);
        JsonNode line = Json.read(lines.get(0), JsonNode.class).value();
        assertThat(ImmutableList.copyOf(line.fieldNames()))
                .containsExactly(
                        "scenario",
                        "seed",
                        "policy",
                        "class",
                        "can_wait",
                        "offered",
                        "goodput",
                        "goodput_bound",
                        "late",
                        "refused",
                        "wasted_prefill_share",
                        "false_not_run");
    }
}
