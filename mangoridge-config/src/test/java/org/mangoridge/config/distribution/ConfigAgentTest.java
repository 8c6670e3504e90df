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

    private static final Duration ADOPTION_LIMIT = Duration.ofSeconds(9);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(20);

    @ParameterizedTest
    @CsvSource({"7, 3, 6", "60, 6, 12", "340, 6, 12"})
    void platformCallsAreBoundedByTheNumberOfWatchers(int size, int zones, int watchers) {
        SimulatedFleet fleet = converged(size, zones, 1);
        Duration start = fleet.now();
        fleet.run(Duration.ofSeconds(100));
        int idleCalls = fleet.calls(start, fleet.now());
        long peerCalls = fleet.peerCalls();
        fleet.publish(2);
        Duration published = fleet.now();
        Duration adoptionTime = fleet.runUntil(2, ADOPTION_LIMIT);
        fleet.run(Duration.ofSeconds(1));
        System.out.printf(
                "simulated fleet of %d instances: %d waiting watches, %.2f platform calls/s when idle"
                        + " (%.4f per instance), %d calls during a change, in force after %d ms,"
                        + " %d peer calls before it%n",
                size,
                fleet.waitingWatches(),
                idleCalls / 100.0,
                idleCalls / 100.0 / size,
                fleet.calls(published, fleet.now().plusSeconds(1)),
                adoptionTime.toMillis(),
                peerCalls);
        assertThat(fleet.waitingWatches()).isAtMost(watchers);
        assertThat(idleCalls).isAtMost(watchers * 100 / 4);
        assertThat(adoptionTime).isLessThan(ADOPTION_LIMIT);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changeIsAdoptedInTimeAfterAllWatchersOfAZoneAreKilled(long seed) {
        SimulatedFleet fleet = converged(60, 6, seed);
        fleet.watchers(2).forEach(fleet::kill);
        fleet.publish(2);
        assertWithMessage("seed %s", seed)
                .that(fleet.runUntil(2, Duration.ofSeconds(30)))
                .isLessThan(ADOPTION_LIMIT);
    }

    @Test
    void instanceStartedDuringAnOutageAdoptsFromPeers() {
        SimulatedFleet fleet = converged(7, 3, 1);
        fleet.outage(true);
        SimulatedFleet.Node node = fleet.live().get(0);
        fleet.kill(node);
        fleet.run(SETTLING_TIME);
        fleet.restart(node);
        assertThat(fleet.runUntil(1, ADOPTION_LIMIT)).isLessThan(ADOPTION_LIMIT);
    }

    @Test
    void nothingIsAdoptedWithoutPlatformAndPeers() {
        SimulatedFleet fleet = new SimulatedFleet(7, 3, false, 1);
        fleet.publish(1);
        fleet.outage(true);
        fleet.run(SETTLING_TIME);
        assertThat(fleet.live().stream()
                        .mapToLong(SimulatedFleet.Node::generation)
                        .max()
                        .orElseThrow())
                .isEqualTo(0);
        assertThat(fleet.live().get(0).agent().problem()).contains("platform");
    }

    @Test
    void everyInstanceTurnsToThePlatformIfPeersAreUnreachable() {
        SimulatedFleet fleet = new SimulatedFleet(7, 3, false, 1);
        fleet.publish(1);
        assertThat(fleet.runUntil(1, Duration.ofSeconds(30))).isLessThan(Duration.ofSeconds(15));
    }

    @Test
    void newestConfigurationIsWrittenBackToRestoredPlatformAndNoInstanceRegresses() {
        SimulatedFleet fleet = converged(7, 3, 1);
        fleet.saveBackup();
        fleet.publish(2);
        fleet.runUntil(2, ADOPTION_LIMIT);
        fleet.restoreBackup();
        fleet.run(ADOPTION_LIMIT);
        assertThat(fleet.stored().manifest().generation()).isEqualTo(2);
        assertThat(fleet.minGeneration()).isEqualTo(2);
    }

    @Test
    void recoveryFromALongOutageCausesNoThunderingHerd() {
        SimulatedFleet fleet = converged(340, 6, 1);
        fleet.outage(true);
        Duration outageStart = fleet.now();
        fleet.run(Duration.ofMinutes(10));
        int callsDuringOutage = fleet.calls(outageStart.plusSeconds(30), fleet.now());
        fleet.outage(false);
        fleet.publish(2);
        Duration recoveredAt = fleet.now();
        Duration adoptionTime = fleet.runUntil(2, Duration.ofSeconds(30));
        fleet.run(Duration.ofSeconds(5));
        int maxCallsPerSecond = fleet.maxCallsPerSecond(recoveredAt, fleet.now());
        System.out.printf(
                "simulated fleet of 340 instances: %.2f platform calls/s during the outage,"
                        + " at most %d in a second after it, in force %d ms after it%n",
                callsDuringOutage / 570.0, maxCallsPerSecond, adoptionTime.toMillis());
        assertThat(maxCallsPerSecond).isLessThan(60);
        assertThat(adoptionTime).isLessThan(ADOPTION_LIMIT);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noInstanceRegressesUnderTwoSimultaneousFaultsAndAllConverge(long seed) {
        SimulatedFleet fleet = converged(9, 3, seed);
        SplittableRandom random = new SplittableRandom(seed);
        int share = 1;
        for (int i = 0; i < 30; i++) {
            injectFault(random.nextInt(7), fleet, random);
            injectFault(random.nextInt(7), fleet, random);
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
        fleet.run(SETTLING_TIME);
        long newest = fleet.stored().manifest().generation();
        assertWithMessage("seed %s", seed).that(fleet.minGeneration()).isEqualTo(newest);
    }

    private static void injectFault(int fault, SimulatedFleet fleet, SplittableRandom random) {
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
            case 5 -> fleet.restoreBackup();
            default -> fleet.saveBackup();
        }
    }

    private static SimulatedFleet converged(int size, int zones, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, zones, true, seed);
        fleet.publish(1);
        fleet.run(SETTLING_TIME);
        assertThat(fleet.minGeneration()).isEqualTo(1);
        return fleet;
    }
}
