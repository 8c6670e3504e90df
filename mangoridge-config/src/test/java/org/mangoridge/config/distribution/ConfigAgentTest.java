package org.mangoridge.config.distribution;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ConfigAgentTest {

    private static final Duration LIMIT = Duration.ofSeconds(9);
    private static final Duration SETTLE = Duration.ofSeconds(20);

    @ParameterizedTest
    @CsvSource({"7, 3, 6", "60, 6, 12", "340, 6, 12"})
    void callsGrowMoreSlowlyThanTheFleet(int size, int zones, int watchers) {
        SimulatedFleet fleet = settled(size, zones, 1);
        Duration start = fleet.now();
        fleet.run(Duration.ofSeconds(100));
        int idle = fleet.calls(start, fleet.now());
        long asked = fleet.peerCalls();
        fleet.publish(2);
        Duration published = fleet.now();
        Duration taken = fleet.runUntil(2, LIMIT);
        fleet.run(Duration.ofSeconds(1));
        System.out.printf(
                "%d states: %d instances, %d waiting watches, %.2f platform calls/s idle (%.4f an instance),"
                        + " %d in the seconds of a change, in force after %d ms, %d peer calls so far%n",
                size,
                size,
                fleet.waitingWatches(),
                idle / 100.0,
                idle / 100.0 / size,
                fleet.calls(published, fleet.now().plusSeconds(1)),
                taken.toMillis(),
                asked);
        assertThat(fleet.waitingWatches()).isAtMost(watchers);
        assertThat(idle).isAtMost(watchers * 100 / 4);
        assertThat(taken).isLessThan(LIMIT);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void inForceInTimeWithTheWatchersOfAZoneJustKilled(long seed) {
        SimulatedFleet fleet = settled(60, 6, seed);
        fleet.watchers(2).forEach(fleet::kill);
        fleet.publish(2);
        assertWithMessage("seed %s", seed)
                .that(fleet.runUntil(2, Duration.ofSeconds(30)))
                .isLessThan(LIMIT);
    }

    @Test
    void instanceThatStartsDuringAnOutageTakesTheConfigurationFromPeers() {
        SimulatedFleet fleet = settled(7, 3, 1);
        fleet.outage(true);
        SimulatedFleet.Node node = fleet.live().get(0);
        fleet.kill(node);
        fleet.run(SETTLE);
        fleet.restart(node);
        assertThat(fleet.runUntil(1, LIMIT)).isLessThan(LIMIT);
    }

    @Test
    void withNeitherPlatformNorPeersNothingIsAdopted() {
        SimulatedFleet fleet = new SimulatedFleet(7, 3, false, 1);
        fleet.publish(1);
        fleet.outage(true);
        fleet.run(SETTLE);
        assertThat(fleet.live().stream()
                        .mapToLong(SimulatedFleet.Node::generation)
                        .max()
                        .orElseThrow())
                .isEqualTo(0);
        assertThat(fleet.live().get(0).agent().problem()).contains("platform");
    }

    @Test
    void unreachablePeersMakeEveryInstanceTurnToThePlatform() {
        SimulatedFleet fleet = new SimulatedFleet(7, 3, false, 1);
        fleet.publish(1);
        assertThat(fleet.runUntil(1, Duration.ofSeconds(30))).isLessThan(Duration.ofSeconds(15));
    }

    @Test
    void restoredPlatformGetsTheNewestConfigurationBackAndNoInstanceGoesBack() {
        SimulatedFleet fleet = settled(7, 3, 1);
        fleet.saveCopy();
        fleet.publish(2);
        fleet.runUntil(2, LIMIT);
        fleet.restoreCopy();
        fleet.run(LIMIT);
        assertThat(fleet.stored().manifest().generation()).isEqualTo(2);
        assertThat(fleet.leastGeneration()).isEqualTo(2);
    }

    @Test
    void returnAfterALongOutageBringsNoStampede() {
        SimulatedFleet fleet = settled(340, 6, 1);
        fleet.outage(true);
        Duration out = fleet.now();
        fleet.run(Duration.ofMinutes(10));
        int during = fleet.calls(out.plusSeconds(30), fleet.now());
        fleet.outage(false);
        fleet.publish(2);
        Duration back = fleet.now();
        Duration taken = fleet.runUntil(2, Duration.ofSeconds(30));
        fleet.run(Duration.ofSeconds(5));
        int most = fleet.mostCallsInASecond(back, fleet.now());
        System.out.printf(
                "340 states: %.2f platform calls/s during the outage, at most %d in a second after it,"
                        + " in force %d ms after it%n",
                during / 570.0, most, taken.toMillis());
        assertThat(most).isLessThan(60);
        assertThat(taken).isLessThan(LIMIT);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void twoFaultsAtOnceNeverTakeAnInstanceBackAndEndWithTheNewest(long seed) {
        SimulatedFleet fleet = settled(9, 3, seed);
        SplittableRandom random = new SplittableRandom(seed);
        int share = 1;
        for (int i = 0; i < 30; i++) {
            cause(random.nextInt(7), fleet, random);
            cause(random.nextInt(7), fleet, random);
            long before = fleet.live().stream()
                    .mapToLong(SimulatedFleet.Node::generation)
                    .max()
                    .orElseThrow();
            if (fleet.stored().manifest().generation() >= before && random.nextBoolean()) {
                fleet.publish(++share);
            }
            fleet.run(Duration.ofMillis(random.nextInt(6000)));
        }
        fleet.outage(false);
        fleet.run(SETTLE);
        long newest = fleet.stored().manifest().generation();
        assertWithMessage("seed %s", seed).that(fleet.leastGeneration()).isEqualTo(newest);
    }

    private static void cause(int fault, SimulatedFleet fleet, SplittableRandom random) {
        List<SimulatedFleet.Node> live = fleet.live();
        SimulatedFleet.Node node = live.get(random.nextInt(live.size()));
        switch (fault) {
            case 0 -> fleet.outage(true);
            case 1 -> fleet.outage(false);
            case 2 -> fleet.staleReads(random.nextInt(1, 5));
            case 3 -> fleet.watchGaps(random.nextInt(1, 5));
            case 4 -> {
                fleet.kill(node);
                fleet.restart(node);
            }
            case 5 -> fleet.restoreCopy();
            default -> fleet.saveCopy();
        }
    }

    private static SimulatedFleet settled(int size, int zones, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, zones, true, seed);
        fleet.publish(1);
        fleet.run(SETTLE);
        assertThat(fleet.leastGeneration()).isEqualTo(1);
        return fleet;
    }
}
