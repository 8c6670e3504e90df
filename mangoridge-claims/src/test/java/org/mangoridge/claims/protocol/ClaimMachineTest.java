package org.mangoridge.claims.protocol;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;

class ClaimMachineTest {

    private static final Instant NOW = Instant.EPOCH;
    private static final Instant LATER = NOW.plusSeconds(3600);

    private final Claim mine = claim("mine", "print");
    private final ClaimMachine machine = ClaimMachine.of(mine);

    @ParameterizedTest
    @EnumSource(AttemptProgress.class)
    void onlyAProvenNotRunReleases(AttemptProgress progress) {
        machine.begin();
        machine.on(new ClaimEvent.Written(7), NOW);
        ClaimAction next = machine.on(new ClaimEvent.Stopped(progress), NOW);
        boolean releases =
                next instanceof ClaimAction.Write write && write.value().state() == ClaimState.RELEASED;
        assertThat(releases).isEqualTo(progress.verdict() == Verdict.NOT_RUN);
    }

    @Test
    void aLostAnswerOfTheClaimIsSettledByReadingIt() {
        machine.begin();
        assertThat(machine.on(new ClaimEvent.Unknown(), NOW)).isInstanceOf(ClaimAction.Read.class);
        assertThat(machine.on(seen(3, mine), NOW)).isInstanceOf(ClaimAction.Dispatch.class);
    }

    @Test
    void aClaimThatMayLandLaterIsBarredAfterTheCallerWasTold() {
        machine.begin();
        machine.on(new ClaimEvent.Unknown(), NOW);
        ClaimAction told = machine.on(new ClaimEvent.ReadFailed(), NOW);
        assertThat(told)
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.NotRun(ClaimResult.Cause.PLATFORM_UNAVAILABLE)));
        assertThat(machine.on(new ClaimEvent.Replied(), NOW)).isInstanceOf(ClaimAction.Read.class);
        ClaimAction bar = machine.on(new ClaimEvent.Read(Optional.empty()), NOW);
        assertThat(bar).isEqualTo(new ClaimAction.Write(0, mine.released()));
    }

    @Test
    void nobodyTakesAClaimOver() {
        machine.begin();
        machine.on(new ClaimEvent.Conflict(), NOW);
        assertThat(machine.on(seen(3, claim("other", "print")), LATER))
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.OutcomeUnknown(NOW)));
    }

    @Test
    void aKeyWithAnotherRequestIsRefused() {
        machine.begin();
        machine.on(new ClaimEvent.Conflict(), NOW);
        assertThat(machine.on(seen(3, claim("other", "another print")), NOW))
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.KeyReused()));
    }

    @Test
    void aHolderThatPausedPastItsTimeDoesNotDispatch() {
        machine.begin();
        assertThat(machine.on(new ClaimEvent.Written(4), LATER)).isEqualTo(new ClaimAction.Write(4, mine.released()));
    }

    private static ClaimEvent seen(long version, Claim claim) {
        return new ClaimEvent.Read(Optional.of(new StoredClaim(version, claim)));
    }

    private static Claim claim(String request, String fingerprint) {
        return new Claim(
                ServiceId.of("orderdesk"),
                CallerId.of("counter"),
                "key",
                fingerprint,
                AttemptId.first(RequestId.of(request)),
                "entry-1/1",
                ClaimState.CLAIMED,
                NOW,
                NOW.plus(Duration.ofSeconds(60)),
                Optional.empty());
    }
}
