package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.directory.ServerStage;

import static com.google.common.truth.Truth.assertThat;

class ServerPausesTest {

    private static final Duration NOW = Duration.ofSeconds(50);

    private final ServerPauses pauses = new ServerPauses();
    private final ServerEntry server = run("s-1", 1);

    private static ServerEntry run(String id, long startedMillis) {
        return new ServerEntry(
                ServerId.of(id),
                ServiceId.of("desk"),
                new HostPort("127.0.0.1", 1),
                AvailabilityZone.of("a"),
                6,
                false,
                ServerStage.NONE,
                startedMillis,
                ServerEntry.UNKNOWN_SEQUENCE);
    }

    @ParameterizedTest
    @CsvSource({"2500, 0, true", "2500, 2499, true", "2500, 2500, false", "300, 299, true", "0, 0, false"})
    void aPauseLastsAsLongAsAsked(long pauseMillis, long laterMillis, boolean paused) {
        pauses.record(server, Duration.ofMillis(pauseMillis), NOW);
        assertThat(pauses.isPaused(server, NOW.plusMillis(laterMillis))).isEqualTo(paused);
    }

    /** Answers to requests that were under way may ask for less, and each pause holds. */
    @Test
    void aShorterPauseDoesNotEndALongerOne() {
        assertThat(pauses.record(server, Duration.ofSeconds(3), NOW)).isTrue();
        assertThat(pauses.record(server, Duration.ofSeconds(1), NOW.plusMillis(5)))
                .isFalse();
        assertThat(pauses.remaining(server, NOW.plusSeconds(2))).isEqualTo(Duration.ofSeconds(1));
    }

    @Test
    void aPauseOfYearsEndsAfterAMinute() {
        pauses.record(server, Duration.ofDays(10_000), NOW);
        assertThat(pauses.remaining(server, NOW)).isEqualTo(ServerPauses.MAX_PAUSE);
    }

    @Test
    void aNewRunOfTheServerIsNotPaused() {
        pauses.record(server, Duration.ofSeconds(3), NOW);
        assertThat(pauses.isPaused(run("s-1", 2), NOW)).isFalse();
        assertThat(pauses.isPaused(server, NOW)).isTrue();
    }

    @Test
    void theFirstEndIsKnownOnlyIfAllServersArePaused() {
        ServerEntry other = run("s-2", 1);
        pauses.record(server, Duration.ofSeconds(3), NOW);
        assertThat(pauses.firstEnd(List.of(server, other), NOW)).isEqualTo(Optional.empty());
        pauses.record(other, Duration.ofSeconds(2), NOW);
        assertThat(pauses.firstEnd(List.of(server, other), NOW)).isEqualTo(Optional.of(Duration.ofSeconds(2)));
        assertThat(pauses.firstEnd(List.of(), NOW)).isEqualTo(Optional.empty());
    }

    @Test
    void pausesOfRunsThatAreNotListedAreForgotten() {
        pauses.record(server, Duration.ofSeconds(3), NOW);
        pauses.retain(Set.of(new ServerRun(ServerId.of("s-1"), 2)));
        assertThat(pauses.isPaused(server, NOW)).isFalse();
    }
}
