package org.mangoridge.claims.store;

import org.mangoridge.core.Result;
import org.mangoridge.objects.StoreFailure;

/** Keeps who settled which claim; the entry is written before the claim is changed. */
@FunctionalInterface
public interface SettlementAudit {

    /** Notes that {@code operator} settles {@code claim} as {@code settlement}. */
    Result<Boolean, StoreFailure> record(String operator, StuckClaim claim, Settlement settlement);
}
