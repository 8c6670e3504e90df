package org.mangoridge.entry.accounts;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.routing.accounting.UsageKey;

/**
 * Records what one attempt uses; any thread may call it.
 *
 * @param ledger the ledger
 * @param attempt the attempt
 * @param key whose attempt it is
 */
public record AttemptUsageRecorder(AccountLedger ledger, AttemptId attempt, UsageKey key) {

    /** Records that a slot and memory pieces are held from now on. */
    public void slotHeld(ServerId server, int pieces) {
        ledger.post((accounts, now) -> accounts.slotHeld(attempt, server, key, pieces, now));
    }

    /** Records that they are held no longer; idempotent. */
    public void slotReleased() {
        ledger.post((accounts, now) -> accounts.slotReleased(attempt, now));
    }

    /** Records computed prompt tokens. */
    public void prefilled(ServerId server, long tokens) {
        ledger.post((accounts, now) -> accounts.prefilled(server, key, tokens, now));
    }

    /** Records bytes fetched over a server's link. */
    public void transferred(ServerId server, long bytes) {
        ledger.post((accounts, now) -> accounts.transferred(server, key, bytes, now));
    }
}
