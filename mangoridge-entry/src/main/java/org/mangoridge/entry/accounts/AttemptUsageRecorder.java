package org.mangoridge.entry.accounts;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.routing.accounting.UsageKey;

/**
 * Records the resource usage of one attempt; thread-safe.
 *
 * @param ledger the ledger to record in
 * @param attempt the attempt
 * @param key the caller, class and service that the usage is accounted to
 */
public record AttemptUsageRecorder(AccountLedger ledger, AttemptId attempt, UsageKey key) {

    /** Records that a slot and {@code pieces} memory pieces are held from now on. */
    public void slotHeld(ServerId server, int pieces) {
        ledger.postServerUsage((accounts, now) -> accounts.slotHeld(attempt, server, key, pieces, now));
    }

    /** Records that the slot and its memory pieces are no longer held; idempotent. */
    public void slotReleased() {
        ledger.postServerUsage((accounts, now) -> accounts.slotReleased(attempt, now));
    }

    /** Records computed prompt tokens, without those found in the prefix cache. */
    public void prefilled(ServerId server, long tokens) {
        ledger.postServerUsage((accounts, now) -> accounts.prefilled(server, key, tokens, now));
    }

    /** Records bytes of KV cache that {@code server} fetched over its link. */
    public void transferred(ServerId server, long bytes) {
        ledger.postServerUsage((accounts, now) -> accounts.transferred(server, key, bytes, now));
    }
}
