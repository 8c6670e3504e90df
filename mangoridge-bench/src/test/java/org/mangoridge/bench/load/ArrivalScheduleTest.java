package org.mangoridge.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.bench.load.ArrivalSchedule.Flow;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.core.prefix.PrefixHashes;

import static com.google.common.truth.Truth.assertThat;

class ArrivalScheduleTest {

    private static final List<TrafficClass> CLASSES = Fleet.chalk().classes();
    private static final Duration TIME = Duration.ofSeconds(100);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 99})
    void aSeedDecidesEverything(long seed) {
        List<Arrival> arrivals = ArrivalSchedule.of(List.of(flow(0)), seed);
        assertThat(ArrivalSchedule.of(List.of(flow(0)), seed)).isEqualTo(arrivals);
        assertThat(ArrivalSchedule.of(List.of(flow(0)), seed + 1)).isNotEqualTo(arrivals);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 99})
    void ratesSharesAndTimesAreThoseAskedFor(long seed) {
        List<Arrival> arrivals = ArrivalSchedule.of(List.of(flow(0)), seed);
        assertThat((double) arrivals.size()).isWithin(250).of(2000);
        assertThat(arrivals).isInOrder((a, b) -> ((Arrival) a).at().compareTo(((Arrival) b).at()));
        assertThat(arrivals.get(arrivals.size() - 1).at()).isLessThan(TIME);
        long counter = arrivals.stream()
                .filter(arrival -> arrival.trafficClass().name().equals("counter"))
                .count();
        assertThat((double) counter / arrivals.size()).isWithin(0.06).of(0.75);
    }

    @Test
    void oneCallerCanSendAll() {
        assertThat(ArrivalSchedule.of(List.of(flow(3)), 1).stream()
                        .map(Arrival::caller)
                        .collect(Collectors.toSet()))
                .containsExactly("counter-3", "drafts-3");
    }

    @Test
    void promptsOfOneDocumentShareItsBlocksAndNoMore() {
        Prompt one = new Prompt(5, 600, 1, 300);
        Prompt two = new Prompt(5, 600, 2, 300);
        List<Long> first = PrefixHashes.of(one.text());
        List<Long> second = PrefixHashes.of(two.text());
        assertThat(PrefixHashes.estimateTokens(one.text())).isEqualTo(900);
        assertThat(first.subList(0, 2)).isEqualTo(second.subList(0, 2));
        assertThat(first.get(2)).isNotEqualTo(second.get(2));
        assertThat(one.text()).isEqualTo(new Prompt(5, 600, 1, 300).text());
    }

    private static Flow flow(int onlyCaller) {
        return new Flow(Duration.ZERO, TIME, 20, CLASSES, onlyCaller);
    }
}
