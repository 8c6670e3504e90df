package org.mangoridge.entry.accounts;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.routing.accounting.CallerAccounts;
import org.mangoridge.routing.accounting.CallerUsage;
import org.mangoridge.routing.accounting.RefusalAccounts;
import org.mangoridge.routing.accounting.ServerAccounts;
import org.mangoridge.routing.accounting.UsageKey;

/** Records what became of requests; any thread may call it. */
public final class AccountLedger {

    private final ControlLoop control;
    private final Clock clock;
    private final Counter served;
    private final Counter refused;
    private final Counter abandoned;
    private final Counter outputTokens;
    private final CallerAccounts accounts = CallerAccounts.create();
    private final ServerAccounts servers = ServerAccounts.create();
    private final RefusalAccounts refusals = RefusalAccounts.create();

    private AccountLedger(ControlLoop control, MetricRegistry metrics, Clock clock) {
        this.control = control;
        this.clock = clock;
        served = metrics.counter("requests.served");
        refused = metrics.counter("requests.refused");
        abandoned = metrics.counter("requests.abandoned");
        outputTokens = metrics.counter("tokens.output");
    }

    /**
     * Returns an empty ledger whose accounts only the control thread touches.
     *
     * @param control the thread that keeps the accounts
     * @param metrics where the counters of requests and tokens stand from now on, at 0 until something is counted
     * @param clock tells when use begins and ends
     */
    public static AccountLedger create(ControlLoop control, MetricRegistry metrics, Clock clock) {
        return new AccountLedger(control, metrics, clock);
    }

    /** Records a request that was answered whole. */
    public void recordServed(CallerId caller, int promptTokens, int generatedTokens) {
        served.inc();
        outputTokens.inc(generatedTokens);
        control.post(() -> accounts.update(caller, use -> use.plusServed(promptTokens, generatedTokens)));
    }

    /** Records a request that was refused. */
    public void recordRefusal(CallerId caller) {
        refused.inc();
        control.post(() -> accounts.update(caller, CallerUsage::plusRefused));
    }

    /** Records a refused model request with its reason. */
    public void recordRefusal(UsageKey key, RefusalReason reason) {
        recordRefusal(key.caller());
        control.post(() -> refusals.recordRefusal(key, reason, clock.elapsed()));
    }

    /** Returns a recorder of what an attempt uses. */
    public AttemptUsageRecorder usageRecorder(AttemptId attempt, UsageKey key) {
        return new AttemptUsageRecorder(this, attempt, key);
    }

    /** Gives whose requests filled {@code server}, which serves {@code service}. */
    public CompletableFuture<TopReport> topReport(ServerId server, ServiceId service) {
        return control.submit(() -> {
            Duration now = clock.elapsed();
            return TopReport.of(service, servers.report(server, now), refusals.report(service, now));
        });
    }

    void post(BiConsumer<ServerAccounts, Duration> change) {
        control.post(() -> change.accept(servers, clock.elapsed()));
    }

    /** Records a request whose caller went. */
    public void recordAbandoned(CallerId caller, int generatedTokens) {
        abandoned.inc();
        control.post(() -> accounts.update(caller, use -> use.plusAbandoned(generatedTokens)));
    }

    /** Gives the use of every caller so far. */
    public CompletableFuture<List<CallerUsage>> callerUsages() {
        return control.submit(accounts::usages);
    }
}
