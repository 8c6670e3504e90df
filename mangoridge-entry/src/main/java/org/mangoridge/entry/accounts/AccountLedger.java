package org.mangoridge.entry.accounts;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.routing.accounting.CallerAccounts;
import org.mangoridge.routing.accounting.CallerUse;

/** Records what became of requests; any thread may call it. */
public final class AccountLedger {

    private final ControlLoop control;
    private final MetricRegistry metrics;
    private final CallerAccounts accounts = CallerAccounts.create();

    private AccountLedger(ControlLoop control, MetricRegistry metrics) {
        this.control = control;
        this.metrics = metrics;
    }

    /** Returns an empty ledger whose accounts only the control thread touches. */
    public static AccountLedger create(ControlLoop control, MetricRegistry metrics) {
        return new AccountLedger(control, metrics);
    }

    /** Records a request that was answered whole. */
    public void served(CallerId caller, int promptTokens, int outputTokens) {
        metrics.counter("requests.served").inc();
        metrics.counter("tokens.output").inc(outputTokens);
        control.post(() -> accounts.record(caller, use -> use.plusServed(promptTokens, outputTokens)));
    }

    /** Records a request that was refused. */
    public void refused(CallerId caller) {
        metrics.counter("requests.refused").inc();
        control.post(() -> accounts.record(caller, CallerUse::plusRefused));
    }

    /** Records a request whose caller went. */
    public void abandoned(CallerId caller, int outputTokens) {
        metrics.counter("requests.abandoned").inc();
        control.post(() -> accounts.record(caller, use -> use.plusAbandoned(outputTokens)));
    }

    /** Gives the use of every caller so far. */
    public CompletableFuture<List<CallerUse>> uses() {
        return control.ask(accounts::uses);
    }
}
