package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertWithMessage;

/** A store that answers every call and ends waiting watches without an answer. */
class ServerLeftAmongCutsTest {

    private static final int SEEDS = 200;
    private static final Duration LEAVES = Duration.ofSeconds(20);

    private static Stream<Arguments> cutsAndInstances() {
        return Stream.of(
                        List.of(-1800),
                        List.of(-100),
                        List.of(0),
                        List.of(-300, 1300),
                        List.of(-300, 600, 1300, 1900),
                        List.of(-1500, -200, 1400),
                        List.of(-50, 700, 1500, 2300, 3100, 3900),
                        every(400, -2000, 2400),
                        every(1100, -15_000, 8000))
                .flatMap(cuts -> Stream.of(1, 16, 87).map(instances -> Arguments.of(cuts, instances)));
    }

    private static List<Integer> every(int millis, int from, int to) {
        return IntStream.iterate(from, at -> at <= to, at -> at + millis)
                .boxed()
                .toList();
    }

    /** Guards against a removal that each further cut of a watch put off: orders were lost at a server that was gone. */
    @ParameterizedTest
    @MethodSource("cutsAndInstances")
    void aServerWhoseRemovalIsKnownIsNotChosenPastItsNotice(List<Integer> cutsMillis, int instances) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreOutageSimulation simulation = simulation(cutsMillis, instances, seed);
            simulation.run();
            assertWithMessage("seed %s", seed)
                    .that(simulation.leavingServerUsedAfterItLeft())
                    .isLessThan(StoreOutageSimulation.DRAIN_NOTICE);
        }
    }

    @ParameterizedTest
    @MethodSource("cutsAndInstances")
    void aServerThatStaysIsUsedThroughout(List<Integer> cutsMillis, int instances) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreOutageSimulation simulation = simulation(cutsMillis, instances, seed);
            simulation.run();
            assertWithMessage("seed %s", seed).that(simulation.falselyRemoved()).isEmpty();
        }
    }

    private static StoreOutageSimulation simulation(List<Integer> cutsMillis, int instances, long seed) {
        List<Duration> cuts = cutsMillis.stream().map(LEAVES::plusMillis).toList();
        StoreOutageSimulation.Script script = new StoreOutageSimulation.Script(List.of(), cuts, LEAVES);
        return new StoreOutageSimulation(StoreOutageSimulation.Outage.PARTITION, instances, script, seed);
    }
}
