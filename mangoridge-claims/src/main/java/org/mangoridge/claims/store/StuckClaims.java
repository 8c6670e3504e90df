package org.mangoridge.claims.store;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.claims.protocol.RecordedAnswer;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/** Lists stuck claims and settles them on behalf of operators; calls block. */
public final class StuckClaims {

    private static final int PAGE_SIZE = 200;

    private final ObjectStore store;
    private final Clock clock;
    private final SettlementAudit audit;

    private StuckClaims(ObjectStore store, Clock clock, SettlementAudit audit) {
        this.store = store;
        this.clock = clock;
        this.audit = audit;
    }

    /** Returns a view of the claims in {@code store}. */
    public static StuckClaims create(ObjectStore store, Clock clock, SettlementAudit audit) {
        return new StuckClaims(store, clock, audit);
    }

    /** Returns at most {@code limit} stuck claims of {@code service}. */
    public Result<List<StuckClaim>, StoreFailure> list(ServiceId service, int limit) {
        List<StuckClaim> found = new ArrayList<>();
        String after = "";
        while (found.size() < limit) {
            Result<List<StoredObject>, StoreFailure> page = store.list(ClaimObjects.prefix(service), after, PAGE_SIZE);
            if (!page.isOk()) {
                return Result.err(page.error());
            }
            page.value().stream().flatMap(this::stuckClaim).forEach(found::add);
            if (page.value().size() < PAGE_SIZE) {
                break;
            }
            after = page.value().get(PAGE_SIZE - 1).key().path();
        }
        return Result.ok(List.copyOf(found.subList(0, Math.min(limit, found.size()))));
    }

    /**
     * Settles a claim after the audit entry is stored.
     *
     * <p>{@link Settlement#NOT_RUN} is correct only if the incarnation that holds the claim has ended, no server still
     * works on the attempt, and the service's own records show that the call did not run.
     */
    public WriteOutcome settle(String operator, StuckClaim stuck, Settlement settlement) {
        Result<Boolean, StoreFailure> audited = audit.record(operator, stuck, settlement);
        if (!audited.isOk()) {
            return new WriteOutcome.NotWritten("the claim is unchanged, as its audit entry could not be written: "
                    + audited.error().detail());
        }
        Claim settled =
                switch (settlement) {
                    case RAN -> stuck.claim().recorded(RecordedAnswer.notKept());
                    case NOT_RUN -> stuck.claim().released();
                };
        return store.write(stuck.object(), ClaimObjects.encode(settled), Precondition.atVersion(stuck.version()));
    }

    private Stream<StuckClaim> stuckClaim(StoredObject object) {
        Result<Claim, String> claim = ClaimObjects.decode(object.value());
        boolean isStuck = claim.isOk()
                && claim.value().state() == ClaimState.CLAIMED
                && !clock.now().isBefore(claim.value().overdueAt());
        return isStuck ? Stream.of(new StuckClaim(object.key(), object.version(), claim.value())) : Stream.empty();
    }
}
