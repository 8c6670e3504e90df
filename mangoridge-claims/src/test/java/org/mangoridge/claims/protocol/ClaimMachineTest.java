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
    private static final Instant AFTER_OVERDUE = NOW.plusSeconds(3600);

    private final Claim ownClaim = claim("own", "print");
    private final ClaimMachine machine = ClaimMachine.of(ownClaim);

    @ParameterizedTest
    @EnumSource(AttemptProgress.class)
    void releasesTheClaimOnlyIfTheCallProvablyDidNotRun(AttemptProgress progress) {
        machine.begin();
        machine.on(new ClaimEvent.Written(7), NOW);
        ClaimAction next = machine.on(new ClaimEvent.Stopped(progress), NOW);
        boolean releases =
                next instanceof ClaimAction.Write write && write.value().state() == ClaimState.RELEASED;
        assertThat(releases).isEqualTo(progress.verdict() == Verdict.NOT_RUN);
    }

    @Test
    void readsTheClaimBackWhenTheOutcomeOfItsWriteIsUnknown() {
        machine.begin();
        assertThat(machine.on(new ClaimEvent.Unknown(), NOW)).isInstanceOf(ClaimAction.Read.class);
        assertThat(machine.on(claimRead(3, ownClaim), NOW)).isInstanceOf(ClaimAction.Dispatch.class);
    }

    @Test
    void revokesAClaimInDoubtAfterTheReply() {
        machine.begin();
        machine.on(new ClaimEvent.Unknown(), NOW);
        ClaimAction reply = machine.on(new ClaimEvent.ReadFailed(), NOW);
        assertThat(reply)
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.NotRun(ClaimResult.Cause.PLATFORM_UNAVAILABLE)));
        assertThat(machine.on(new ClaimEvent.Replied(), NOW)).isInstanceOf(ClaimAction.Read.class);
        ClaimAction revoke = machine.on(new ClaimEvent.Read(Optional.empty()), NOW);
        assertThat(revoke).isEqualTo(new ClaimAction.Write(0, ownClaim.released()));
    }

    @Test
    void doesNotTakeOverAnOverdueClaim() {
        machine.begin();
        machine.on(new ClaimEvent.Conflict(), NOW);
        assertThat(machine.on(claimRead(3, claim("other", "print")), AFTER_OVERDUE))
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.OutcomeUnknown(NOW)));
    }

    @Test
    void refusesAKeyThatWasUsedWithAnotherRequest() {
        machine.begin();
        machine.on(new ClaimEvent.Conflict(), NOW);
        assertThat(machine.on(claimRead(3, claim("other", "another print")), NOW))
                .isEqualTo(new ClaimAction.Reply(new ClaimResult.KeyReused()));
    }

    @Test
    void releasesInsteadOfDispatchingOnceOverdue() {
        machine.begin();
        assertThat(machine.on(new ClaimEvent.Written(4), AFTER_OVERDUE))
                .isEqualTo(new ClaimAction.Write(4, ownClaim.released()));
    }

    private static ClaimEvent claimRead(long version, Claim claim) {
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
