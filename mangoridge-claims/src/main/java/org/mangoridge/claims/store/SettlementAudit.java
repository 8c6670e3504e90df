package org.mangoridge.claims.store;

import org.mangoridge.core.Result;
import org.mangoridge.objects.StoreFailure;

/** Records which operator settled which claim; the entry is written before the claim is changed. */
@FunctionalInterface
public interface SettlementAudit {

    /** Records that {@code operator} settles {@code claim} as {@code settlement}; an error prevents the settlement. */
    Result<Boolean, StoreFailure> record(String operator, StuckClaim claim, Settlement settlement);
}
