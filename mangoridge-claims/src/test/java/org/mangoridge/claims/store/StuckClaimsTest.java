package org.mangoridge.claims.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimEvent;
import org.mangoridge.claims.protocol.ClaimResult;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.claims.protocol.RecordedAnswer;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.WriteOutcome;

import static com.google.common.truth.Truth.assertThat;

class StuckClaimsTest {

    private static final ServiceId SERVICE = ServiceId.of("orderdesk");
    private static final Duration OVERDUE_AFTER = Duration.ofMinutes(1);

    private final VirtualClock clock = VirtualClock.create();
    private final InMemoryStore store = new InMemoryStore();
    private final List<String> audited = new ArrayList<>();
    private final StuckClaims claims = StuckClaims.create(store, clock, (operator, stuck, settlement) -> {
        audited.add(operator + " " + settlement);
        return Result.ok(true);
    });

    @Test
    void listsAClaimAsStuckOnceItIsOverdue() {
        attempt("first", unanswered());
        assertThat(claims.list(SERVICE, 10).value()).isEmpty();
        clock.advance(OVERDUE_AFTER);
        StuckClaim stuck = claims.list(SERVICE, 10).value().get(0);
        assertThat(stuck.claim().caller()).isEqualTo(CallerId.of("nursery"));
        assertThat(claims.list(ServiceId.of("other"), 10).value()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Settlement.class)
    void settlementIsAuditedAndDecidesTheResultOfARetry(Settlement settlement) {
        attempt("first", unanswered());
        clock.advance(OVERDUE_AFTER);
        StuckClaim stuck = claims.list(SERVICE, 10).value().get(0);
        assertThat(claims.settle("ada", stuck, settlement)).isInstanceOf(WriteOutcome.Written.class);
        assertThat(audited).containsExactly("ada " + settlement);
        assertThat(claims.settle("ada", stuck, settlement)).isInstanceOf(WriteOutcome.Conflict.class);
        ClaimResult retry = attempt("second", answered());
        boolean ranAgain = retry instanceof ClaimResult.Completed;
        boolean isToldThatItRan = retry instanceof ClaimResult.Replayed replayed
                && !replayed.answer().kept();
        assertThat(ranAgain).isEqualTo(settlement == Settlement.NOT_RUN);
        assertThat(isToldThatItRan).isEqualTo(settlement == Settlement.RAN);
    }

    @Test
    void doesNotSettleWithoutAnAuditEntry() {
        attempt("first", unanswered());
        clock.advance(OVERDUE_AFTER);
        StuckClaims unaudited = StuckClaims.create(
                store,
                clock,
                (operator, stuck, settlement) -> Result.err(new StoreFailure("the platform is unavailable")));
        StuckClaim stuck = claims.list(SERVICE, 10).value().get(0);
        assertThat(unaudited.settle("ada", stuck, Settlement.RAN)).isInstanceOf(WriteOutcome.NotWritten.class);
        assertThat(claims.list(SERVICE, 10).value()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"true, 23, 0", "true, 25, 1", "false, 25, 0", "false, 167, 0", "false, 169, 1"})
    void sweepsClaimsAfterTheirRetention(boolean hasOutcome, int ageHours, int deleted) {
        attempt("first", hasOutcome ? answered() : unanswered());
        clock.advance(Duration.ofHours(ageHours));
        ClaimSweeper sweeper = ClaimSweeper.create(store, clock, TokenBucket.create(clock, 1, 1));
        assertThat(sweeper.sweepPage()).isEqualTo(deleted);
        assertThat(store.size()).isEqualTo(1 - deleted);
    }

    @Test
    void sweepsOnlyWithinTheWriteBudget() {
        attempt("first", answered());
        clock.advance(Duration.ofDays(2));
        TokenBucket emptyBucket = TokenBucket.create(clock, 1, 1);
        emptyBucket.take(1);
        ClaimSweeper sweeper = ClaimSweeper.create(store, clock, emptyBucket);
        assertThat(sweeper.sweepPage()).isEqualTo(0);
        clock.advance(Duration.ofSeconds(1));
        assertThat(sweeper.sweepPage()).isEqualTo(1);
    }

    @Test
    void doesNotRecordAnOversizedAnswer() {
        byte[] body = new byte[ClaimObjects.MAX_RECORDED_BODY_BYTES + 1];
        assertThat(RecordedAnswer.of(201, "text/plain", body)
                        .within(ClaimObjects.MAX_RECORDED_BODY_BYTES)
                        .kept())
                .isFalse();
    }

    @Test
    void tokenBucketReturnsTheTimeUntilTokensAreAvailable() {
        TokenBucket bucket = TokenBucket.create(clock, 4, 2);
        assertThat(bucket.take(2)).isEmpty();
        assertThat(bucket.take(2)).hasValue(Duration.ofMillis(500));
        clock.advance(Duration.ofMillis(500));
        assertThat(bucket.take(2)).isEmpty();
    }

    private ClaimResult attempt(String request, ClaimEvent server) {
        Claim claim = new Claim(
                SERVICE,
                CallerId.of("nursery"),
                "key",
                "fingerprint",
                AttemptId.first(RequestId.of(request)),
                "entry-1/1",
                ClaimState.CLAIMED,
                clock.now(),
                clock.now().plus(OVERDUE_AFTER),
                Optional.empty());
        try (ClaimRunner runner = ClaimRunner.create(store, clock)) {
            return runner.run(claim, () -> server);
        }
    }

    private static ClaimEvent unanswered() {
        return new ClaimEvent.Stopped(AttemptProgress.REQUEST_SENT);
    }

    private static ClaimEvent answered() {
        return new ClaimEvent.Answered(RecordedAnswer.of(201, "text/plain", new byte[] {1}));
    }
}
