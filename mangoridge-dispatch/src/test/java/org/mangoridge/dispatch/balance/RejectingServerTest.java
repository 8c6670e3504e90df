package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.dispatch.balance.RejectingServerSimulation.Outcome;

import static com.google.common.truth.Truth.assertThat;

class RejectingServerTest {

    private static final long SEED = 7;

    private static RejectingServerSimulation simulation(
            int instances, long serviceMillis, int rejecting, double pauseSeconds) {
        Optional<Duration> pause =
                pauseSeconds == 0 ? Optional.empty() : Optional.of(Duration.ofMillis((long) (pauseSeconds * 1000)));
        return RejectingServerSimulation.create(instances, Duration.ofMillis(serviceMillis), rejecting, pause, SEED);
    }

    /** Guards against two of three requests being refused, since the server that rejects is the fastest. */
    @ParameterizedTest
    @CsvSource({
        "3, 20, 0, 0.2", "3, 20, 2.5, 0.2", "12, 20, 0, 0.2", "12, 20, 2.5, 0.2",
        "3, 300, 0, 0.5", "3, 300, 2.5, 0.5", "12, 300, 0, 0.5", "12, 300, 2.5, 0.5",
        "1, 20, 0, 0.2", "12, 2000, 2.5, 0.3"
    })
    void oneRejectingServerOfThreeCostsNoRequests(int instances, long serviceMillis, double pauseSeconds, double load) {
        RejectingServerSimulation simulation = simulation(instances, serviceMillis, 1, pauseSeconds);
        Outcome outcome = simulation.run(load * simulation.capacityPerSecond());
        assertThat(outcome.mostInOnePause()).isEqualTo(0);
        assertThat(outcome.served()).isAtLeast((int) (outcome.requests() * 0.97));
    }

    /** Servers that are full for a moment reject requests as well; the load beyond their capacity must not idle them. */
    @ParameterizedTest
    @CsvSource({
        "3, 20, 0.9",
        "12, 20, 0.9",
        "3, 300, 0.9",
        "12, 300, 0.9",
        "3, 20, 1.2",
        "3, 20, 3",
        "12, 20, 1.2",
        "12, 20, 3",
        "3, 300, 1.2",
        "3, 300, 3",
        "12, 300, 1.2",
        "12, 300, 3",
        "3, 2000, 3",
        "12, 2000, 3",
        "12, 2000, 10"
    })
    void fullServersStayInUse(int instances, long serviceMillis, double load) {
        RejectingServerSimulation simulation = simulation(instances, serviceMillis, 0, 0);
        Outcome outcome = simulation.run(load * simulation.capacityPerSecond());
        double possible = simulation.capacityPerSecond()
                * RejectingServerSimulation.runTime().toMillis()
                / 1000;
        assertThat(outcome.served()).isAtLeast((int) (Math.min(outcome.requests(), possible) * 0.92));
    }

    /** Guards against refusals for seconds after an overload, while the servers that were full have room again. */
    @Test
    void aServerThatWasFullForLongIsAskedAgainWithinASecondIfNoOtherCanBeUsed() {
        ServerHealth health = new ServerHealth();
        Duration now = Duration.ZERO;
        while (now.compareTo(Duration.ofSeconds(20)) < 0) {
            health.recordSent(now);
            health.recordRejection(Duration.ofMillis(2), now);
            now = now.plus(health.backOffRemaining(now));
        }
        health.recordSent(now);
        health.recordRejection(Duration.ofMillis(2), now);
        assertThat(health.backOffRemaining(now)).isAtLeast(Duration.ofSeconds(2));
        assertThat(health.isUsableInNeed(now.plusMillis(900))).isFalse();
        assertThat(health.isUsableInNeed(now.plusSeconds(1))).isTrue();
        health.recordSent(now.plusSeconds(1));
        assertThat(health.isUsableInNeed(now.plusSeconds(1))).isFalse();
    }
}
